package mustardsaddle

import (
	"cmp"
	"slices"
	"time"
)

// MaxSuspicionCrashes is the maximum number of instances in a RequestSuspicion.
const MaxSuspicionCrashes = 8

// RequestSuspicion is what gateways know about a request under which servers have ended, as
// they exchange it. A complete response to the request begins a new epoch without crashes.
// Merging the suspicions of one request in any order, also repeatedly, gives the same
// result. A RequestSuspicion is immutable.
type RequestSuspicion struct {
	// Digest identifies the request.
	Digest RequestDigest
	// Head is a hash of the request without its body.
	Head uint64
	// Service is the service of the request.
	Service string
	// Epoch grows with each complete response, and when an operator releases the request.
	Epoch int64
	// Crashes holds the instances that have ended in this epoch while they had the request,
	// in order.
	Crashes []Instance
	// Retests is the number of times in this epoch that the request was sent again although
	// it was quarantined.
	Retests int
	// Age is the time since the newest crash, or the newest retest if that is later.
	Age time.Duration
}

// WithCrash returns a copy of s with one more instance, and false if s has it already or
// holds as many as it can.
func (s RequestSuspicion) WithCrash(instance Instance) (RequestSuspicion, bool) {
	i, found := slices.BinarySearchFunc(s.Crashes, instance, Instance.Compare)
	if found || len(s.Crashes) >= MaxSuspicionCrashes {
		return s, false
	}
	s.Crashes = slices.Insert(slices.Clone(s.Crashes), i, instance)
	return s, true
}

// WithRetest returns a copy of s with one more retest.
func (s RequestSuspicion) WithRetest() RequestSuspicion {
	s.Retests++
	return s
}

// WithoutCrashes returns a copy of s that begins the next epoch.
func (s RequestSuspicion) WithoutCrashes() RequestSuspicion {
	s.Epoch, s.Crashes, s.Retests = s.Epoch+1, nil, 0
	return s
}

// WithAge returns a copy of s with another age.
func (s RequestSuspicion) WithAge(age time.Duration) RequestSuspicion {
	s.Age = age
	return s
}

// Merge returns what s and other, suspicions of the same request, state together. It returns
// false if other adds nothing to s.
func (s RequestSuspicion) Merge(other RequestSuspicion) (RequestSuspicion, bool) {
	if s.Epoch != other.Epoch {
		if s.Epoch > other.Epoch {
			return s, false
		}
		return other, true
	}
	merged, changed := s, false
	for _, instance := range other.Crashes {
		next, added := merged.WithCrash(instance)
		merged, changed = next, changed || added
	}
	if other.Retests > merged.Retests {
		merged.Retests, changed = other.Retests, true
	}
	merged.Age = min(merged.Age, other.Age)
	return merged, changed
}

// Compare orders instances by name, then incarnation.
func (i Instance) Compare(other Instance) int {
	return cmp.Or(cmp.Compare(i.Name, other.Name), cmp.Compare(i.Incarnation, other.Incarnation))
}
