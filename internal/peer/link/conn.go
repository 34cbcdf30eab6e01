package link

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

// link is one established connection to a peer that has introduced itself.
type link struct {
	owner *Links
	hello news.Hello
	id    identity
	conn  *websocket.Conn
	queue *queue
	// last is the time of the last frame, in nanoseconds since 1970.
	last atomic.Int64
	// refused is true after the first message that was refused for its format.
	refused atomic.Bool
}

// introduce exchanges Hello on a new connection.
func (l *Links) introduce(ctx context.Context, conn *websocket.Conn, dialed bool) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timing.Silence)
	defer cancel()
	conn.SetReadLimit(news.MaxBytes)
	if err := l.write(ctx, conn, news.Hello{VM: l.cfg.Self, Summary: l.cfg.Summary()}); err != nil {
		return nil, err
	}
	msg, _, err := l.read(ctx, conn)
	if err != nil {
		return nil, err
	}
	hello, ok := msg.(news.Hello)
	if !ok {
		return nil, code.Errorf(code.PeerBadMessage, "first message of a link: got %v, want Hello", msg.Type())
	}
	if hello.VM.Name == l.cfg.Self.Name {
		return nil, code.Errorf(code.PeerBadMessage, "peer has the name of this gateway, %q", hello.VM.Name)
	}
	id := identity{incarnation: hello.VM.Incarnation, dialer: hello.VM.Name}
	if dialed {
		id.dialer = l.cfg.Self.Name
	}
	k := &link{owner: l, hello: hello, id: id, conn: conn, queue: newQueue(l.cfg.Queue, l.cfg.QueueBytes)}
	k.last.Store(time.Now().UnixNano())
	return k, nil
}

// write encodes and sends one message.
func (l *Links) write(ctx context.Context, conn *websocket.Conn, msg news.Message) error {
	b, err := l.codec.Encode(msg)
	if err != nil {
		return err
	}
	return l.writeBytes(ctx, conn, b)
}

func (l *Links) writeBytes(ctx context.Context, conn *websocket.Conn, b []byte) error {
	if err := conn.Write(ctx, websocket.MessageBinary, b); err != nil {
		return code.Wrapf(code.PeerUnavailable, err, "send %d bytes to peer", len(b))
	}
	l.counts.sentMessages.Add(1)
	l.counts.sentBytes.Add(int64(len(b)))
	return nil
}

// read receives and decodes one message. Whether a frame came is told even if
// it does not decode.
func (l *Links) read(ctx context.Context, conn *websocket.Conn) (news.Message, bool, error) {
	_, b, err := conn.Read(ctx)
	if err != nil {
		return nil, false, code.Wrapf(code.PeerUnavailable, err, "read from peer")
	}
	l.counts.receivedMessages.Add(1)
	l.counts.receivedBytes.Add(int64(len(b)))
	msg, err := l.codec.Decode(b)
	return msg, true, err
}

// serve runs the link until it fails, falls silent, or the context ends.
func (k *link) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k.owner.cfg.Receive(time.Now(), k.hello.VM.Name, k.hello)
	var receiveErr error
	received := make(chan struct{})
	go func() {
		defer close(received)
		receiveErr = k.receive(ctx)
	}()
	err := k.send(ctx, received)
	cancel()
	_ = k.conn.CloseNow()
	<-received
	if err == nil {
		return receiveErr
	}
	return err
}

// send writes heartbeats and what is queued, until the receiver has ended, when
// it returns nil, or it fails itself. A receiver ends with the context.
func (k *link) send(ctx context.Context, receiving <-chan struct{}) error {
	heartbeat := time.NewTicker(k.owner.timing.Heartbeat)
	defer heartbeat.Stop()
	for {
		var err error
		select {
		case <-receiving:
			return nil
		case <-k.queue.wake:
			err = k.flush(ctx)
		case now := <-heartbeat.C:
			err = k.beat(ctx, now)
		}
		if err != nil {
			return err
		}
	}
}

// flush sends what is queued.
func (k *link) flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, k.owner.timing.Silence)
	defer cancel()
	for {
		it, ok := k.queue.take()
		if !ok {
			return nil
		}
		if err := k.owner.writeBytes(ctx, k.conn, it.data); err != nil {
			return err
		}
	}
}

// beat sends a heartbeat, unless the link has fallen silent.
func (k *link) beat(ctx context.Context, now time.Time) error {
	if last := time.Unix(0, k.last.Load()); k.owner.timing.silent(now, last) {
		event.Warn(k.owner.cfg.Logger, event.LinkSilent).Str("Peer", k.hello.VM.Name).
			Dur("Silence", now.Sub(last)).Send()
		k.owner.counts.silent.Add(1)
		return code.Errorf(code.PeerUnavailable, "link to %s: got nothing for %v", k.hello.VM.Name, now.Sub(last))
	}
	ctx, cancel := context.WithTimeout(ctx, k.owner.timing.Silence)
	defer cancel()
	return k.owner.write(ctx, k.conn, news.Heartbeat{Summary: k.owner.cfg.Summary()})
}

// receive reads until the connection ends. A message of a newer format is
// refused and the link kept, so that gateways of two versions stay linked; a
// message that breaks the format ends the link.
func (k *link) receive(ctx context.Context) error {
	for {
		msg, came, err := k.owner.read(ctx, k.conn)
		now := time.Now()
		if came {
			k.last.Store(now.UnixNano())
		}
		switch {
		case code.Of(err) == code.PeerNewerFormat:
			k.refuseFormat(err)
		case err != nil:
			return err
		case msg.Type() == news.TypeUnknown:
			event.Warn(k.owner.cfg.Logger, event.PeerMessageUnknown).Str("Peer", k.hello.VM.Name).
				Interface("Message", msg).Send()
		default:
			k.owner.cfg.Receive(now, k.hello.VM.Name, msg)
		}
	}
}

// refuseFormat logs the first refusal on this link.
func (k *link) refuseFormat(err error) {
	k.owner.counts.refused.Add(1)
	if k.refused.Swap(true) {
		return
	}
	event.Warn(k.owner.cfg.Logger, event.PeerMessageRefused).Str("Peer", k.hello.VM.Name).
		Int("Code", int(code.Of(err))).Err(err).Send()
}

// vm returns the peer as it introduced itself.
func (k *link) vm() mustardsaddle.VM {
	return k.hello.VM
}
