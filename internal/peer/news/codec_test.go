package news_test

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

var (
	summary = news.Summary{Generation: 41_000, MarksDigest: 0xfedcba9876543210}
	mark    = mustardsaddle.Mark{Name: "booking-07", Incarnation: 1_800_000_000, Leaving: true}
	change  = news.RuleChange{
		From: 41_000, To: 41_001, Digest: 0x0123456789abcdef,
		Out: []news.RuleEdit{{At: 3, Text: "Path=/rosters Service=Booking Deadline=2s # Mei Lin: members browse rosters"}},
		In:  []news.RuleEdit{{At: 3, Text: "Path=/rosters Service=Booking Deadline=3s # Mei Lin: members browse rosters"}},
	}
	hello = news.Hello{
		VM:      mustardsaddle.VM{Name: "gateway-1", Incarnation: 1_800_000_000, Zone: "perth-1", Peer: "10.0.0.1:7200"},
		Summary: summary,
	}
)

func samples() []news.Message {
	return []news.Message{
		hello, news.Heartbeat{Summary: summary}, news.Marks{Marks: []mustardsaddle.Mark{mark}}, change,
		news.AskRules{Have: 40_000}, news.WholeRules{Generation: 1, Text: "# Generation 1\n"},
		news.Listing{
			Servers: true, After: 41, Revision: 43, Removed: []string{"booking-08"},
			Machines: []mustardsaddle.Machine{{Name: "booking-07", Incarnation: 1_800_000_000, Service: "Booking", WarmUp: time.Second}},
		},
		news.Listing{Whole: true, Revision: 43, Generation: 12, Rules: "Path=/rosters Service=Booking # Mei Lin: rosters\n"},
		news.AskListing{Servers: true},
		news.Heartbeat{Summary: news.Summary{Rules: news.Known{Revision: 43, Age: 12}, Servers: news.Known{Revision: 44}}},
		news.Generations{VMs: []news.Generation{{Name: "gateway-1", Generation: 41_000}}},
		news.AskMachines{}, news.Machines{Machines: []mustardsaddle.Machine{{
			Name: "booking-07", Incarnation: 1_800_000_000, Zone: "perth-1", Service: "Booking",
			Address: "10.0.0.7:8080", Slots: 2, Connections: 200,
		}}},
	}
}

func raw(t testing.TB, v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

type envelope struct {
	Format int
	Type   string
	Body   any
}

func TestDecode(t *testing.T) {
	codec := news.NewCodec()
	marks := func(m ...mustardsaddle.Mark) []byte {
		return raw(t, envelope{1, "Marks", news.Marks{Marks: m}})
	}
	for _, c := range []struct {
		name string
		in   []byte
		want code.Code
	}{
		{"nothing", nil, code.PeerBadMessage},
		{"text", []byte("GET / HTTP/1.1\r\n"), code.PeerBadMessage},
		{"a newer format", raw(t, envelope{2, "Marks", 7}), code.PeerNewerFormat},
		{"a newer format of another shape", raw(t, map[string]any{"Format": 3, "Type": 9}), code.PeerNewerFormat},
		{"no format", raw(t, envelope{0, "Marks", news.Marks{}}), code.PeerBadMessage},
		{"no type", raw(t, envelope{1, "", nil}), code.PeerBadMessage},
		{"a body of another type", raw(t, envelope{1, "Marks", 7}), code.PeerBadMessage},
		{"no body", raw(t, map[string]any{"Format": 1, "Type": "Marks"}), code.PeerBadMessage},
		{"bytes after the message", append(marks(mark), 0), code.PeerBadMessage},
		{"a field twice", []byte("\xa2\x66Format\x01\x66Format\x01"), code.PeerBadMessage},
		{"too many bytes", make([]byte, news.MaxBytes+1), code.PeerBadMessage},
		{"a listing without a revision", raw(t, envelope{1, "Listing", news.Listing{Whole: true}}), code.PeerBadMessage},
		{"a negative age", raw(t, envelope{1, "Heartbeat", news.Heartbeat{Summary: news.Summary{Rules: news.Known{Age: -1}}}}), code.PeerBadMessage},
		{"too many marks", marks(make([]mustardsaddle.Mark, news.MaxMarks+1)...), code.PeerBadMessage},
		{"a mark of no VM", marks(mustardsaddle.Mark{}), code.PeerBadMessage},
		{"a mark with a long name", marks(mustardsaddle.Mark{Name: strings.Repeat("x", 256)}), code.PeerBadMessage},
		{"a mark beyond the last Seq", marks(mustardsaddle.Mark{Name: "x", Seq: 1 << 31}), code.PeerBadMessage},
		{"a change back", raw(t, envelope{1, "RuleChange", news.RuleChange{From: 3, To: 3}}), code.PeerBadMessage},
		{"a change at a negative line", raw(t, envelope{1, "RuleChange", news.RuleChange{To: 1, In: []news.RuleEdit{{At: -1}}}}), code.PeerBadMessage},
		{"a hello of no VM", raw(t, envelope{1, "Hello", news.Hello{}}), code.PeerBadMessage},
		{"a VM without a name", raw(t, envelope{1, "Machines", news.Machines{Machines: make([]mustardsaddle.Machine, 1)}}), code.PeerBadMessage},
		{"a negative generation", raw(t, envelope{1, "AskRules", news.AskRules{Have: -1}}), code.PeerBadMessage},
		{"a field of a later version", raw(t, envelope{1, "AskRules", map[string]any{"Have": 1, "Why": "x"}}), code.OK},
		{"a type of a later version", raw(t, envelope{1, "Weather", 7}), code.OK},
		{"a message", marks(mark), code.OK},
	} {
		convey.Convey("Given "+c.name, t, func() {
			_, err := codec.Decode(c.in)
			convey.So(code.Of(err), convey.ShouldEqual, c.want)
		})
	}
	convey.Convey("Encode refuses what Decode would refuse", t, func() {
		_, err := codec.Encode(news.WholeRules{Text: strings.Repeat("x", news.MaxRulesBytes+1)})
		convey.So(code.Of(err), convey.ShouldEqual, code.PeerBadMessage)
		b, err := codec.Encode(news.WholeRules{Text: strings.Repeat("x", news.MaxRulesBytes)})
		convey.So(err, convey.ShouldBeNil)
		_, err = codec.Decode(b)
		convey.So(err, convey.ShouldBeNil)
	})
}

func TestRoundTrip(t *testing.T) {
	codec := news.NewCodec()
	rapid.Check(t, func(t *rapid.T) {
		var marks []mustardsaddle.Mark
		for range rapid.IntRange(1, 5).Draw(t, "Marks") {
			marks = append(marks, mustardsaddle.Mark{
				Name: rapid.StringN(1, 20, 80).Draw(t, "Name"), Incarnation: rapid.Int64().Draw(t, "Incarnation"),
				Seq: rapid.Int64Range(0, 9).Draw(t, "Seq"), Leaving: rapid.Bool().Draw(t, "Leaving"),
			})
		}
		for _, msg := range append(samples(), news.Marks{Marks: marks}) {
			b, err := codec.Encode(msg)
			if err != nil {
				t.Fatal(err)
			}
			got, err := codec.Decode(b)
			if err != nil || !reflect.DeepEqual(got, msg) {
				t.Fatalf("got %v %v, want %v", got, err, msg)
			}
		}
	})
}

func FuzzDecode(f *testing.F) {
	codec := news.NewCodec()
	for _, msg := range samples() {
		b, err := codec.Encode(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add(raw(f, envelope{2, "Marks", 7}))
	f.Add(raw(f, envelope{1, "Weather", 7}))
	f.Add([]byte("\x9f\xbf\xff"))
	f.Fuzz(func(t *testing.T, b []byte) {
		msg, err := codec.Decode(b)
		if err != nil {
			if c := code.Of(err); c != code.PeerBadMessage && c != code.PeerNewerFormat {
				t.Fatalf("got code %v", c)
			}
			return
		}
		if msg.Type() == news.TypeUnknown {
			return
		}
		again, err := codec.Encode(msg)
		if err != nil {
			t.Fatalf("a decoded message does not encode: %v", err)
		}
		if same, err := codec.Decode(again); err != nil || !reflect.DeepEqual(same, msg) {
			t.Fatalf("got %v %v, want %v", same, err, msg)
		}
	})
}

// BenchmarkMessage gives the bytes of each message, and the time to encode and
// decode it.
func BenchmarkMessage(b *testing.B) {
	codec := news.NewCodec()
	for _, msg := range samples() {
		b.Run(reflect.TypeOf(msg).Name(), func(b *testing.B) {
			b.ReportAllocs()
			bytes := 0
			for b.Loop() {
				encoded, err := codec.Encode(msg)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := codec.Decode(encoded); err != nil {
					b.Fatal(err)
				}
				bytes = len(encoded)
			}
			b.ReportMetric(float64(bytes), "bytes/message")
		})
	}
}
