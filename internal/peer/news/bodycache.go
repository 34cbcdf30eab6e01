package news

import "sync"

// bodyCache holds the compressed body of the last change of the rules that a codec has encoded or
// decoded. A gateway forwards what it received, and need not compress it again. It is safe for
// concurrent use.
type bodyCache struct {
	mu         sync.Mutex
	key        bodyKey
	compressed []byte
}

// bodyKey identifies the body of a message. The zero value identifies none.
type bodyKey struct {
	typ Type
	// head is the encoded head, which contains the digest of the rules that result.
	head string
	// out and in are the numbers of removed and of inserted lines.
	out, in int
}

// ruleChangeOf returns the change of the rules that is the only content of a message; nil if it
// has other content.
func ruleChangeOf(msg Message) *RuleChange {
	switch m := msg.(type) {
	case RuleChange:
		return &m
	case Listing:
		if m.Rules == "" && len(m.Machines)+len(m.Removed) == 0 {
			return m.RuleChange
		}
	}
	return nil
}

// get returns the body with a key, which may be shared; nil if it is not held.
func (c *bodyCache) get(key bodyKey) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if key == (bodyKey{}) || key != c.key {
		return nil
	}
	return c.compressed
}

// put replaces the body that is held, unless the key identifies none.
func (c *bodyCache) put(key bodyKey, compressed []byte) {
	if key == (bodyKey{}) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.key, c.compressed = key, compressed
}
