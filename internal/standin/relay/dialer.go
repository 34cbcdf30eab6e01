package relay

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// Cut is the way in which the connections of a Dialer fail.
type Cut int

const (
	// NoCut means that connections work.
	NoCut Cut = iota
	// Hang means that open connections deliver nothing and new ones are not established.
	Hang
	// Refuse means that open connections work and new ones are refused.
	Refuse
	// ResetAndRefuse means that open connections are reset and new ones are refused.
	ResetAndRefuse
	// ResetAndHang means that open connections are reset and new ones are not established.
	ResetAndHang
)

// Dialer opens connections as net.Dialer does, until it is cut off from all targets. It
// stands for the network of one process, while a Relay stands for that of one target. It
// is safe for concurrent use.
type Dialer struct {
	dialer net.Dialer

	mu  sync.Mutex
	cut Cut
	// changed is closed and replaced whenever cut is set.
	changed chan struct{}
	conns   map[*dialedConn]struct{}
}

// NewDialer returns a Dialer that is not cut off.
func NewDialer() *Dialer {
	return &Dialer{changed: make(chan struct{}), conns: make(map[*dialedConn]struct{})}
}

// SetCut replaces the way in which connections fail. Connections that hang deliver what
// they hold once they work again.
func (d *Dialer) SetCut(cut Cut) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = cut
	close(d.changed)
	d.changed = make(chan struct{})
	if cut != ResetAndRefuse && cut != ResetAndHang {
		return
	}
	for c := range d.conns {
		c.reset.Do(func() { close(c.isReset) })
		_ = c.Conn.Close()
	}
}

// current returns the present cut and a channel that is closed when it is replaced.
func (d *Dialer) current() (Cut, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut, d.changed
}

// DialContext opens a connection.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	for {
		cut, changed := d.current()
		switch cut {
		case NoCut:
			return d.dial(ctx, network, address)
		case Refuse, ResetAndRefuse:
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		case Hang, ResetAndHang:
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
	}
}

func (d *Dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &dialedConn{Conn: conn, dialer: d, isReset: make(chan struct{}), closed: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[c] = struct{}{}
	return c, nil
}

// dialedConn is a connection of a Dialer.
type dialedConn struct {
	net.Conn
	dialer  *Dialer
	reset   sync.Once
	isReset chan struct{}
	close   sync.Once
	closed  chan struct{}
}

// Read reads from the connection, and holds what it has read while the connection hangs.
func (c *dialedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for {
		cut, changed := c.dialer.current()
		if cut != Hang {
			return n, c.readError(err)
		}
		select {
		case <-changed:
		case <-c.isReset:
			return 0, c.readError(io.EOF)
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// readError returns the error of a read, which is that of a reset if the connection was
// reset.
func (c *dialedConn) readError(err error) error {
	select {
	case <-c.isReset:
		return &net.OpError{Op: "read", Net: network, Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	default:
		return err
	}
}

// Write writes to the connection. While it hangs, the data is lost.
func (c *dialedConn) Write(p []byte) (int, error) {
	if cut, _ := c.dialer.current(); cut == Hang {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *dialedConn) Close() error {
	c.close.Do(func() { close(c.closed) })
	c.dialer.mu.Lock()
	delete(c.dialer.conns, c)
	c.dialer.mu.Unlock()
	return c.Conn.Close()
}
