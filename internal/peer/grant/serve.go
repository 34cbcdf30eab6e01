package grant

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/buffer"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// idleTimeout is the time after which a connection on which a peer sends nothing is closed.
const idleTimeout = 10 * time.Second

// ServeHTTP serves the asks of a peer until its connection ends.
func (q *Quotas) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !q.admit() {
		http.Error(w, "too many connections", http.StatusServiceUnavailable)
		return
	}
	defer q.leave("")
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	ws.SetReadLimit(maxMessageBytes)
	defer func() { _ = ws.CloseNow() }()
	_ = q.serve(q.base, ws)
}

// admit counts a new connection. It returns false if there are too many, or Run has ended.
func (q *Quotas) admit() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.inboundTotal >= maxInbound {
		return false
	}
	q.inboundTotal++
	q.inboundEnds.Add(1)
	return true
}

// leave counts the end of a connection, or of the identified part of one.
func (q *Quotas) leave(from string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if from == "" {
		q.inboundTotal--
		q.inboundEnds.Done()
		return
	}
	q.inbound[from]--
	if q.inbound[from] == 0 {
		delete(q.inbound, from)
		q.desk.Left(time.Now(), from)
	}
}

// serve answers asks until the connection ends.
func (q *Quotas) serve(ctx context.Context, ws *websocket.Conn) error {
	from := ""
	defer func() {
		if from != "" {
			q.leave(from)
		}
	}()
	for {
		ask, err := q.readAsk(ctx, ws)
		if err == nil && from != "" && ask.From != from {
			err = code.Errorf(code.PeerBadMessage, "ask about quotas: got sender %.100q, want %.100q", ask.From, from)
		}
		var reply mustardsaddle.QuotaReply
		if err == nil {
			reply, err = q.answer(ask, from == "")
		}
		if code.Of(err) == code.PeerBadMessage {
			q.refuse(ask.From, err)
		}
		if err != nil {
			return err
		}
		from = ask.From
		if err := q.write(ctx, ws, reply); err != nil {
			return err
		}
	}
}

func (q *Quotas) readAsk(ctx context.Context, ws *websocket.Conn) (mustardsaddle.QuotaAsk, error) {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	b, err := q.read(ctx, ws)
	if err != nil {
		if errors.Is(err, websocket.ErrMessageTooBig) || errors.Is(err, buffer.ErrTooLarge) {
			return mustardsaddle.QuotaAsk{}, code.Wrapf(code.PeerBadMessage, err, "read ask about quotas")
		}
		return mustardsaddle.QuotaAsk{}, code.Wrapf(code.PeerUnavailable, err, "read ask about quotas")
	}
	var ask mustardsaddle.QuotaAsk
	err = q.codec.decode(b, &ask)
	return ask, err
}

// answer decides on an ask. First is true for the first one of a connection.
func (q *Quotas) answer(ask mustardsaddle.QuotaAsk, first bool) (mustardsaddle.QuotaReply, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	wasActive := q.desk.Active(time.Now())
	reply, err := q.desk.Serve(time.Now(), ask)
	if err == nil && first {
		q.inbound[ask.From]++
	}
	if !wasActive {
		q.notify()
	}
	return reply, err
}
