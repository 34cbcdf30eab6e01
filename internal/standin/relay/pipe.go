package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// chunkBytes is the size of the copy buffer.
const chunkBytes = 16 << 10

// pipe is one relayed connection: a connection from the caller and one to the
// target. Its context ends when it is reset.
type pipe struct {
	relay          *Relay
	ctx            context.Context
	cancel         context.CancelFunc
	caller, target net.Conn
	silent         atomic.Bool
}

// copyOneWay copies data in one direction until that direction ends or the pipe
// is reset.
func (p *pipe) copyOneWay(to, from net.Conn, up bool) {
	b := make([]byte, chunkBytes)
	for {
		n, err := from.Read(b)
		if !p.waitToPass(up) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(b[:n]); writeErr != nil {
				p.reset()
				return
			}
		}
		if err != nil {
			p.propagateEnd(to, err)
			return
		}
	}
}

// waitToPass blocks until the faults let data pass in a direction. It returns
// false if the pipe is reset first.
func (p *pipe) waitToPass(up bool) bool {
	f, _ := p.relay.currentFault()
	if f.Delay > 0 {
		timer := time.NewTimer(f.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-p.ctx.Done():
			return false
		}
	}
	for {
		f, changed := p.relay.currentFault()
		if p.silent.Load() {
			<-p.ctx.Done()
			return false
		}
		if !f.holds(up) {
			return p.ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-p.ctx.Done():
			return false
		}
	}
}

// propagateEnd propagates the end of one direction: EOF as a half-close, any
// other error as a reset.
func (p *pipe) propagateEnd(to net.Conn, err error) {
	half, ok := to.(*net.TCPConn)
	if !ok || !errors.Is(err, io.EOF) || half.CloseWrite() != nil {
		p.reset()
	}
}

// silence black-holes the pipe until it is reset.
func (p *pipe) silence() {
	p.silent.Store(true)
}

// reset resets both connections. Data that is not yet forwarded is lost.
func (p *pipe) reset() {
	p.cancel()
	for _, c := range []net.Conn{p.caller, p.target} {
		abort(c)
	}
}

// abort closes a connection with a TCP reset instead of an orderly close.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
