package link

import (
	"sync"

	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

// queuedMessage is an encoded message that is to be sent.
type queuedMessage struct {
	msgType news.Type
	data    []byte
}

// queue is the bounded send queue of a link. It never blocks: when it is full, it
// drops the oldest messages. The peer detects the loss from the summary in the next
// heartbeat.
type queue struct {
	maxMessages int
	maxBytes    int
	// wake signals that a message has been added.
	wake chan struct{}

	mu       sync.Mutex
	messages []queuedMessage
	bytes    int
}

func newQueue(maxMessages, maxBytes int) *queue {
	return &queue{maxMessages: maxMessages, maxBytes: maxBytes, wake: make(chan struct{}, 1)}
}

// add appends a message, and returns how many messages were dropped because the
// queue was full. A complete rules file supersedes the queued rules messages, which
// are removed and not counted as dropped.
func (q *queue) add(m queuedMessage) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if m.msgType == news.TypeWholeRules {
		q.removeRules()
	}
	q.messages = append(q.messages, m)
	q.bytes += len(m.data)
	dropped := 0
	for len(q.messages) > 1 && (len(q.messages) > q.maxMessages || q.bytes > q.maxBytes) {
		q.pop()
		dropped++
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return dropped
}

// removeRules removes the queued rules messages. The caller holds mu.
func (q *queue) removeRules() {
	kept := q.messages[:0]
	for _, m := range q.messages {
		if m.msgType == news.TypeWholeRules || m.msgType == news.TypeRuleChange {
			q.bytes -= len(m.data)
			continue
		}
		kept = append(kept, m)
	}
	clear(q.messages[len(kept):])
	q.messages = kept
}

// take removes and returns the oldest message. It returns false if the queue is
// empty.
func (q *queue) take() (queuedMessage, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages) == 0 {
		return queuedMessage{}, false
	}
	return q.pop(), true
}

// pop removes and returns the oldest message. The caller holds mu and ensures that
// the queue is not empty.
func (q *queue) pop() queuedMessage {
	m := q.messages[0]
	q.messages[0] = queuedMessage{}
	q.messages = q.messages[1:]
	q.bytes -= len(m.data)
	return m
}
