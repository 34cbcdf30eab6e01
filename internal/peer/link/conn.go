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

const (
	// maxResponseHeaderBytes bounds the response header of a peer, and maxHelloBytes its first
	// message.
	maxResponseHeaderBytes = 16 << 10
	maxHelloBytes          = 64 << 10
	// freeMessageBytes is the size up to which any number of messages may be read at once, and
	// largeMessageBytes the memory for larger ones. It suffices for two of the largest.
	freeMessageBytes  = 512 << 10
	largeMessageBytes = 2 * news.MaxBytes
)

// link is a connection to a peer after the handshake.
type link struct {
	owner *Links
	hello news.Hello
	id    linkID
	conn  *websocket.Conn
	queue *queue
	// lastReceived is the time of the last received frame, in Unix nanoseconds.
	lastReceived atomic.Int64
	// formatErrorLogged is true once a message of a newer format has been logged.
	formatErrorLogged atomic.Bool
}

// handshake exchanges Hello messages on a new connection.
func (l *Links) handshake(ctx context.Context, conn *websocket.Conn, dialed bool) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timing.SilenceTimeout)
	defer cancel()
	conn.SetReadLimit(maxHelloBytes)
	if err := l.writeMessage(ctx, conn, news.Hello{VM: l.cfg.Self, Summary: l.cfg.Summary()}); err != nil {
		return nil, err
	}
	received, _, err := l.readMessage(ctx, conn)
	if err != nil {
		return nil, err
	}
	msg, err := received.Message()
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
	conn.SetReadLimit(news.MaxBytes)
	id := linkID{incarnation: hello.VM.Incarnation, dialer: hello.VM.Name}
	if dialed {
		id.dialer = l.cfg.Self.Name
	}
	lk := &link{owner: l, hello: hello, id: id, conn: conn, queue: newQueue(l.cfg.MaxQueuedMessages, l.cfg.MaxQueuedBytes)}
	lk.lastReceived.Store(time.Now().UnixNano())
	return lk, nil
}

// writeMessage encodes and sends one message.
func (l *Links) writeMessage(ctx context.Context, conn *websocket.Conn, msg news.Message) error {
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

// readMessage receives one message. It also reports whether a frame was received, which
// is true even if the frame does not decode.
func (l *Links) readMessage(ctx context.Context, conn *websocket.Conn) (news.Received, bool, error) {
	_, r, err := conn.Reader(ctx)
	if err != nil {
		return news.Received{}, false, code.Wrapf(code.PeerUnavailable, err, "read from peer")
	}
	b, err := l.reads.Read(ctx, r)
	if err != nil {
		return news.Received{}, false, code.Wrapf(code.PeerUnavailable, err, "read from peer")
	}
	l.counts.receivedMessages.Add(1)
	l.counts.receivedBytes.Add(int64(len(b)))
	received, err := l.codec.Open(b)
	return received, true, err
}

// run sends and receives on the link until it fails, nothing is received for
// Timing.SilenceTimeout, or the context ends.
func (lk *link) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lk.owner.cfg.Receive(time.Now(), lk.hello.VM.Name, lk.hello)
	var receiveErr error
	receiverDone := make(chan struct{})
	go func() {
		defer close(receiverDone)
		receiveErr = lk.receiveLoop(ctx)
	}()
	err := lk.sendLoop(ctx, receiverDone)
	cancel()
	_ = lk.conn.CloseNow()
	<-receiverDone
	if err == nil {
		return receiveErr
	}
	return err
}

// sendLoop sends heartbeats and queued messages. It returns an error if a send fails
// or the link is silent, and nil after the receive loop has ended. The end of the
// context ends the receive loop, and so this loop too.
func (lk *link) sendLoop(ctx context.Context, receiverDone <-chan struct{}) error {
	heartbeat := time.NewTicker(lk.owner.timing.Heartbeat)
	defer heartbeat.Stop()
	for {
		var err error
		select {
		case <-receiverDone:
			return nil
		case <-lk.queue.wake:
			err = lk.flush(ctx)
		case now := <-heartbeat.C:
			err = lk.sendHeartbeat(ctx, now)
		}
		if err != nil {
			return err
		}
	}
}

// flush sends the queued messages.
func (lk *link) flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, lk.owner.timing.SilenceTimeout)
	defer cancel()
	for {
		m, ok := lk.queue.take()
		if !ok {
			return nil
		}
		if err := lk.owner.writeBytes(ctx, lk.conn, m.data); err != nil {
			return err
		}
	}
}

// sendHeartbeat sends a heartbeat behind the queued messages. The peer requests what a
// heartbeat counts and it lacks, so the messages that bring it must arrive first.
// sendHeartbeat returns an error instead if nothing has been received for
// Timing.SilenceTimeout.
func (lk *link) sendHeartbeat(ctx context.Context, now time.Time) error {
	if last := time.Unix(0, lk.lastReceived.Load()); lk.owner.timing.isSilent(now, last) {
		event.Warn(lk.owner.cfg.Logger, event.LinkSilent).Str("Peer", lk.hello.VM.Name).
			Dur("Silence", now.Sub(last)).Send()
		lk.owner.counts.timedOut.Add(1)
		return code.Errorf(code.PeerUnavailable, "link to %s: nothing received for %v", lk.hello.VM.Name, now.Sub(last))
	}
	ctx, cancel := context.WithTimeout(ctx, lk.owner.timing.SilenceTimeout)
	defer cancel()
	// What the summary counts was queued before it returned.
	heartbeat := news.Heartbeat{Summary: lk.owner.cfg.Summary()}
	if err := lk.flush(ctx); err != nil {
		return err
	}
	return lk.owner.writeMessage(ctx, lk.conn, heartbeat)
}

// receiveLoop reads messages until the connection ends. A message of a newer format
// is rejected but the link stays up, so that gateways of two versions remain
// connected during an upgrade. A malformed message ends the link.
func (lk *link) receiveLoop(ctx context.Context) error {
	for {
		received, gotFrame, err := lk.owner.readMessage(ctx, lk.conn)
		now := time.Now()
		if gotFrame {
			lk.lastReceived.Store(now.UnixNano())
		}
		switch {
		case code.Of(err) == code.PeerNewerFormat:
			lk.rejectNewerFormat(err)
			continue
		case err == nil && received.Large():
			err = lk.handleLarge(now, received)
		case err == nil:
			err = lk.handle(now, received)
		}
		if err != nil {
			return err
		}
	}
}

// handleLarge decodes and handles a large message unless it brings nothing new. Large
// messages are handled one at a time, so that of the copies of a message that several peers
// send at the same time only the first is decoded.
func (lk *link) handleLarge(now time.Time, received news.Received) error {
	l := lk.owner
	l.largeMu.Lock()
	defer l.largeMu.Unlock()
	if head := received.Head(); head != nil && l.cfg.Known != nil && l.cfg.Known(now, head) {
		l.counts.duplicates.Add(1)
		return nil
	}
	return lk.handle(now, received)
}

// handle decodes and handles a message.
func (lk *link) handle(now time.Time, received news.Received) error {
	msg, err := received.Message()
	if err != nil {
		return err
	}
	if msg.Type() == news.TypeUnknown {
		event.Warn(lk.owner.cfg.Logger, event.PeerMessageUnknown).Str("Peer", lk.hello.VM.Name).Interface("Message", msg).Send()
		return nil
	}
	lk.owner.cfg.Receive(now, lk.hello.VM.Name, msg)
	return nil
}

// rejectNewerFormat counts a message of a newer format, and logs the first one on
// this link.
func (lk *link) rejectNewerFormat(err error) {
	lk.owner.counts.newerFormat.Add(1)
	if lk.formatErrorLogged.Swap(true) {
		return
	}
	event.Warn(lk.owner.cfg.Logger, event.PeerMessageRefused).Str("Peer", lk.hello.VM.Name).
		Int("Code", int(code.Of(err))).Err(err).Send()
}

// vm returns the peer as described in its Hello.
func (lk *link) vm() mustardsaddle.VM {
	return lk.hello.VM
}
