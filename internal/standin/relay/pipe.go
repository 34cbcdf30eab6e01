package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// chunk is the most that passes at a time, in bytes.
const chunk = 16 << 10

// pipe is one relayed connection. Its context ends when it is reset.
type pipe struct {
	relay          *Relay
	ctx            context.Context
	cancel         context.CancelFunc
	caller, target net.Conn
	silent         atomic.Bool
}

// pass copies bytes one way until that way ends or the pipe is reset.
func (p *pipe) pass(to, from net.Conn, up bool) {
	b := make([]byte, chunk)
	for {
		n, err := from.Read(b)
		if !p.wait(up) {
			return
		}
		if n > 0 {
			if _, failed := to.Write(b[:n]); failed != nil {
				p.reset()
				return
			}
		}
		if err != nil {
			p.end(to, err)
			return
		}
	}
}

// wait returns true once bytes may pass one way, and false if they never will.
func (p *pipe) wait(up bool) bool {
	f, _ := p.relay.state()
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
		f, changed := p.relay.state()
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

// end passes the end of one way on: an orderly one as such, any other as a reset.
func (p *pipe) end(to net.Conn, err error) {
	half, ok := to.(*net.TCPConn)
	if !ok || !errors.Is(err, io.EOF) || half.CloseWrite() != nil {
		p.reset()
	}
}

func (p *pipe) silence() {
	p.silent.Store(true)
}

// reset ends both connections. What they have not passed on yet is lost.
func (p *pipe) reset() {
	p.cancel()
	for _, c := range []net.Conn{p.caller, p.target} {
		abort(c)
	}
}

// abort closes a connection with a reset in place of an orderly end.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
