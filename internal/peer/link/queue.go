package link

import (
	"sync"

	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

// item is an encoded message that waits to be sent.
type item struct {
	kind news.Type
	data []byte
}

// queue holds the messages that wait on one link. It never blocks: when it is
// full, the oldest go, which the summary in the next heartbeat makes good.
type queue struct {
	maxItems int
	maxBytes int
	wake     chan struct{}

	mu    sync.Mutex
	items []item
	bytes int
}

func newQueue(maxItems, maxBytes int) *queue {
	return &queue{maxItems: maxItems, maxBytes: maxBytes, wake: make(chan struct{}, 1)}
}

// add appends a message and returns how many messages were dropped for it. A
// whole rules file supersedes the rules that wait.
func (q *queue) add(it item) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if it.kind == news.TypeWholeRules {
		q.removeRules()
	}
	q.items = append(q.items, it)
	q.bytes += len(it.data)
	dropped := 0
	for len(q.items) > 1 && (len(q.items) > q.maxItems || q.bytes > q.maxBytes) {
		q.pop()
		dropped++
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return dropped
}

// removeRules takes the waiting rules out. The caller holds mu.
func (q *queue) removeRules() {
	kept := q.items[:0]
	for _, it := range q.items {
		if it.kind == news.TypeWholeRules || it.kind == news.TypeRuleChange {
			q.bytes -= len(it.data)
			continue
		}
		kept = append(kept, it)
	}
	clear(q.items[len(kept):])
	q.items = kept
}

// take removes the oldest message.
func (q *queue) take() (item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return item{}, false
	}
	return q.pop(), true
}

// pop removes the oldest message. The caller holds mu and knows that there is one.
func (q *queue) pop() item {
	it := q.items[0]
	q.items[0] = item{}
	q.items = q.items[1:]
	q.bytes -= len(it.data)
	return it
}
