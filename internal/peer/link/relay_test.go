package link_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay passes bytes between clients and a target. It can make the connections
// that are open silent for good, while new ones work.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pipes []*pipe
}

// pipe is one relayed connection.
type pipe struct {
	client, server net.Conn
	mu             sync.Mutex
	frozen         bool
}

func newRelay(t testing.TB, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target}
	t.Cleanup(func() {
		_ = listener.Close()
		r.cut()
	})
	go r.accept()
	return r
}

func (r *relay) address() string {
	return r.listener.Addr().String()
}

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p := &pipe{client: client, server: server}
		r.mu.Lock()
		r.pipes = append(r.pipes, p)
		r.mu.Unlock()
		go p.copy(client, server)
		go p.copy(server, client)
	}
}

// copy passes bytes one way. A frozen pipe passes neither bytes nor the end.
func (p *pipe) copy(to io.Writer, from io.Reader) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		p.mu.Lock()
		frozen := p.frozen
		p.mu.Unlock()
		if frozen {
			return
		}
		if err != nil {
			_ = p.client.Close()
			_ = p.server.Close()
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// freeze makes the open connections silent for good.
func (r *relay) freeze() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pipes {
		p.mu.Lock()
		p.frozen = true
		p.mu.Unlock()
	}
	return len(r.pipes)
}

// cut closes the open connections.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pipes {
		_ = p.client.Close()
		_ = p.server.Close()
	}
	r.pipes = nil
}
