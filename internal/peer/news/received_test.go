package news_test

import (
	"reflect"
	"strings"
	"testing"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

// TestHeads guards against large messages whose head does not state what the message contains,
// so that a receiver drops one that it needs.
func TestHeads(t *testing.T) {
	codec := news.NewCodec()
	large := largeListing(newRoutes)
	change := *large.RuleChange
	head := large
	head.RuleChange = &news.RuleChange{From: change.From, To: change.To, Digest: change.Digest}
	whole := news.Listing{Whole: true, Revision: 43, Generation: 12, Age: 7, Digest: 9, Rules: strings.Repeat("# rosters\n", newRoutes)}
	wholeHead := whole
	wholeHead.Rules = ""
	servers := news.Listing{Servers: true, After: 41, Revision: 43, Machines: make([]mustardsaddle.Machine, 0, news.MaxMachines), Removed: []string{"booking-08"}}
	for range news.MaxMachines {
		servers.Machines = append(servers.Machines, mustardsaddle.Machine{Name: "booking-07", Service: "Booking"})
	}
	for _, tt := range []struct {
		name      string
		msg, want news.Message
	}{
		{"a change in a listing", large, head},
		{"a change of the rules", change, news.RuleChange{From: change.From, To: change.To, Digest: change.Digest}},
		{"all rules in a listing", whole, wholeHead},
		{"servers", servers, news.Listing{Servers: true, After: 41, Revision: 43}},
		{"all rules", news.WholeRules{Generation: 12, Text: whole.Rules}, nil},
		{"a small message", news.AskListing{}, nil},
	} {
		b, err := codec.Encode(tt.msg)
		if err != nil {
			t.Fatal(err)
		}
		r, err := codec.Open(b)
		if err != nil || !reflect.DeepEqual(r.Head(), tt.want) {
			t.Errorf("%s: got head %+v, error %v, want %+v", tt.name, r.Head(), err, tt.want)
		}
		if got, err := r.Message(); err != nil || !reflect.DeepEqual(got, tt.msg) {
			t.Errorf("%s: got another message, error %v, want the encoded one", tt.name, err)
		}
	}
}

// TestBadHead guards against a head that does not fit its message.
func TestBadHead(t *testing.T) {
	for _, head := range []any{7, news.Listing{}} {
		b := mustMarshal(t, map[string]any{"Format": news.FormatCompressed, "Type": "Listing", "Head": head, "Compressed": deflate(t, []byte("x"))})
		if _, err := news.NewCodec().Open(b); code.Of(err) != code.PeerBadMessage {
			t.Errorf("head %v: got error %v, want code PeerBadMessage", head, err)
		}
	}
}

// TestForwardedBodies guards against a gateway that compresses again what it forwards as it was
// received, and against one that forwards the body of another message.
func TestForwardedBodies(t *testing.T) {
	received := largeListing(newRoutes)
	b, err := news.NewCodec().Encode(received)
	if err != nil {
		t.Fatal(err)
	}
	older, later, longer, other := received, received, received, received
	older.Age, later.Revision, longer.Removed = 7, 44, []string{"booking-08"}
	change := *received.RuleChange
	change.In = change.In[1:]
	other.RuleChange = &change
	for _, tt := range []struct {
		name string
		msg  news.Message
		want int64
	}{
		{"the same message", received, 0},
		{"another age", older, 1},
		{"another revision", later, 1},
		{"other content besides", longer, 1},
		{"another change", other, 1},
		{"the change alone", *received.RuleChange, 1},
	} {
		codec := news.NewCodec()
		if _, err := codec.Decode(b); err != nil {
			t.Fatal(err)
		}
		forwarded, err := codec.Encode(tt.msg)
		if err != nil || codec.Stats().Compressed != tt.want {
			t.Errorf("%s: got %d messages compressed, error %v, want %d", tt.name, codec.Stats().Compressed, err, tt.want)
		}
		if got, err := codec.Decode(forwarded); err != nil || !reflect.DeepEqual(got, tt.msg) {
			t.Errorf("%s: got another message, error %v, want the encoded one", tt.name, err)
		}
	}
}
