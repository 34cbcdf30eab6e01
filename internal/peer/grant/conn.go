package grant

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

const (
	// dialTimeout bounds the time for opening a connection.
	dialTimeout = 300 * time.Millisecond
	// writeTimeout bounds the time for sending a message.
	writeTimeout = time.Second
)

// conn is a connection to a gateway that grants quotas.
type conn struct {
	owner  *Quotas
	vm     mustardsaddle.VM
	cancel context.CancelFunc
	// due signals that there may be something to send.
	due chan struct{}
	// unwanted is true if the connection was closed because it is no longer needed. The owner's
	// mu guards it.
	unwanted bool
	// unsupported is true if the peer does not know quotas. It is set before run returns.
	unsupported bool
}

// nudge causes the connection to send what is due.
func (c *conn) nudge() {
	select {
	case c.due <- struct{}{}:
	default:
	}
}

// run opens the connection, and sends and receives until it fails or the context ends.
func (c *conn) run(ctx context.Context) error {
	ws, err := c.dial(ctx)
	if err != nil {
		return err
	}
	ws.SetReadLimit(maxMessageBytes)
	received := make(chan struct{})
	go func() {
		defer close(received)
		c.receive(ctx, ws)
	}()
	err = c.send(ctx, ws, received)
	_ = ws.CloseNow()
	<-received
	return err
}

func (c *conn) dial(ctx context.Context) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ws, resp, err := websocket.Dial(ctx, "ws://"+c.vm.Peer+Path, &websocket.DialOptions{HTTPClient: c.owner.client}) //nolint:bodyclose // Dial closes the body.
	if err != nil {
		c.unsupported = resp != nil && resp.StatusCode == http.StatusNotFound
		return nil, code.Wrapf(code.PeerUnavailable, err, "connect to %s at %s about quotas", c.vm.Name, c.vm.Peer)
	}
	return ws, nil
}

// send sends what is due. It returns nil once receiving has ended.
func (c *conn) send(ctx context.Context, ws *websocket.Conn, received <-chan struct{}) error {
	for {
		if err := c.flush(ctx, ws); err != nil {
			return err
		}
		select {
		case <-received:
			return nil
		case <-c.due:
		}
	}
}

func (c *conn) flush(ctx context.Context, ws *websocket.Conn) error {
	for {
		c.owner.mu.Lock()
		ask, due := c.owner.desk.Next(time.Now(), c.vm.Name)
		c.owner.mu.Unlock()
		if !due {
			return nil
		}
		if err := c.owner.write(ctx, ws, ask); err != nil {
			return err
		}
	}
}

// receive handles replies until the connection ends.
func (c *conn) receive(ctx context.Context, ws *websocket.Conn) {
	for {
		b, err := c.owner.read(ctx, ws)
		if err != nil {
			return
		}
		var reply mustardsaddle.QuotaReply
		if err = c.owner.codec.decode(b, &reply); err == nil {
			err = c.handle(reply)
		}
		if err != nil {
			c.owner.refuse(c.vm.Name, err)
			return
		}
	}
}

func (c *conn) handle(reply mustardsaddle.QuotaReply) error {
	q := c.owner
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.conns[c.vm.Name] != c {
		return nil
	}
	customers, err := q.desk.Receive(time.Now(), c.vm.Name, reply)
	q.release(customers)
	return err
}

// write sends a message.
func (q *Quotas) write(ctx context.Context, ws *websocket.Conn, msg any) error {
	b, err := q.codec.enc.Marshal(msg)
	if err != nil {
		return code.Wrapf(code.PeerBadMessage, err, "encode message about quotas")
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := ws.Write(ctx, websocket.MessageBinary, b); err != nil {
		return code.Wrapf(code.PeerUnavailable, err, "send %d bytes about quotas", len(b))
	}
	return nil
}
