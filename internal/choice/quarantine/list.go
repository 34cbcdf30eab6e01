package quarantine

import (
	"bytes"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardsaddle.example/mustardsaddle"
)

// Counts are numbers of requests.
type Counts struct {
	// Suspect counts the suspect requests, and Quarantined the quarantined ones.
	Suspect, Quarantined int
}

// Counts returns the numbers of suspect and of quarantined requests.
func (t *Table) Counts() Counts {
	return Counts{Suspect: t.suspects, Quarantined: t.quarantined}
}

// Item is a suspect or quarantined request, as operators see it.
type Item struct {
	mustardsaddle.RequestSuspicion
	Decision
}

// Items returns the suspect and quarantined requests, ordered by digest.
func (t *Table) Items(now time.Time) []Item {
	items := []Item{}
	for _, s := range t.Suspicions(now) {
		if d := t.Decide(now, s.Digest); d.State != Free {
			items = append(items, Item{RequestSuspicion: s, Decision: d})
		}
	}
	return items
}

// Suspicions returns what is known about all requests, cleared ones included, ordered by
// digest.
func (t *Table) Suspicions(now time.Time) []mustardsaddle.RequestSuspicion {
	suspicions := make([]mustardsaddle.RequestSuspicion, 0, len(t.entries))
	for _, e := range t.entries {
		if !t.expired(now, e) {
			suspicions = append(suspicions, e.WithAge(max(now.Sub(e.since), 0)))
		}
	}
	slices.SortFunc(suspicions, func(a, b mustardsaddle.RequestSuspicion) int { return bytes.Compare(a.Digest[:], b.Digest[:]) })
	return suspicions
}

// Digest returns a digest that is equal for tables that know the same of the requests that
// are suspect or quarantined. Cleared ones do not count, since a gateway that starts need
// not learn of them.
func (t *Table) Digest(now time.Time) uint64 {
	digest := uint64(0)
	if t.suspects+t.quarantined == 0 {
		return digest
	}
	for _, e := range t.entries {
		if len(e.Crashes) > 0 && !t.expired(now, e) {
			digest += hash(e.RequestSuspicion)
		}
	}
	return digest
}

func hash(s mustardsaddle.RequestSuspicion) uint64 {
	b := append([]byte(nil), s.Digest[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(s.Epoch))
	b = binary.BigEndian.AppendUint64(b, uint64(s.Retests))
	for _, c := range s.Crashes {
		b = append(append(b, c.Name...), 0)
		b = binary.BigEndian.AppendUint64(b, uint64(c.Incarnation))
	}
	return xxhash.Sum64(b)
}
