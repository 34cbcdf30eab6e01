package news_test

import (
	"bytes"
	"slices"
	"testing"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

// suspicionFields are the fields of a suspicion as they are encoded.
type suspicionFields struct {
	Digest  []byte
	Service string
	Epoch   int64
	Crashes []mustardsaddle.Instance
	Retests int
	Age     int64
}

// TestBadSuspicionsAreRefused guards against a malformed message about requests under which
// servers end being applied in part.
func TestBadSuspicionsAreRefused(t *testing.T) {
	digest := bytes.Repeat([]byte{1}, mustardsaddle.RequestDigestBytes)
	a, b := mustardsaddle.Instance{Name: "booking-01", Incarnation: 1}, mustardsaddle.Instance{Name: "booking-02", Incarnation: 1}
	tests := []struct {
		name   string
		fields suspicionFields
		want   code.Code
	}{
		{"valid", suspicionFields{Digest: digest, Service: "Booking", Crashes: []mustardsaddle.Instance{a, b}}, code.OK},
		{"no digest", suspicionFields{}, code.PeerBadMessage},
		{"short digest", suspicionFields{Digest: digest[1:]}, code.PeerBadMessage},
		{"long digest", suspicionFields{Digest: append(slices.Clone(digest), 0)}, code.PeerBadMessage},
		{"negative epoch", suspicionFields{Digest: digest, Epoch: -1}, code.PeerBadMessage},
		{"negative retests", suspicionFields{Digest: digest, Retests: -1}, code.PeerBadMessage},
		{"negative age", suspicionFields{Digest: digest, Age: -1}, code.PeerBadMessage},
		{"instances out of order", suspicionFields{Digest: digest, Crashes: []mustardsaddle.Instance{b, a}}, code.PeerBadMessage},
		{"instance twice", suspicionFields{Digest: digest, Crashes: []mustardsaddle.Instance{a, a}}, code.PeerBadMessage},
		{"instance without a name", suspicionFields{Digest: digest, Crashes: []mustardsaddle.Instance{{Incarnation: 1}}}, code.PeerBadMessage},
		{"too many instances", suspicionFields{Digest: digest, Crashes: manyInstances(mustardsaddle.MaxSuspicionCrashes + 1)}, code.PeerBadMessage},
	}
	codec := news.NewCodec()
	for _, tt := range tests {
		encoded := mustMarshal(t, map[string]any{
			"Format": 1, "Type": "Suspicions", "Body": map[string]any{"Requests": []suspicionFields{tt.fields}},
		})
		if _, err := codec.Decode(encoded); code.Of(err) != tt.want {
			t.Errorf("%s: got error %v, want code %v", tt.name, err, tt.want)
		}
	}
}

func manyInstances(n int) []mustardsaddle.Instance {
	instances := make([]mustardsaddle.Instance, n)
	for i := range instances {
		instances[i] = mustardsaddle.Instance{Name: "booking", Incarnation: int64(i)}
	}
	return instances
}
