package news_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"math"
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

func sampleMessages() []news.Message {
	return []news.Message{
		hello, news.Heartbeat{Summary: summary}, news.Marks{Marks: []mustardsaddle.Mark{mark}}, change,
		news.AskRules{Have: 40_000}, news.WholeRules{Generation: 1, Text: "# Generation 1\n"},
		news.Listing{
			Servers: true, After: 41, Revision: 43, Removed: []string{"booking-08"},
			Machines: []mustardsaddle.Machine{{Name: "booking-07", Incarnation: 1_800_000_000, Service: "Booking", WarmUp: time.Second}},
		},
		news.Listing{Whole: true, Revision: 43, Generation: 12, Rules: "Path=/rosters Service=Booking # Mei Lin: rosters\n"},
		news.AskListing{Servers: true},
		news.Evacuations{Era: 2, Revision: 43, Age: 12, Zones: []string{"perth-1"}}, news.Evacuations{Revision: 43}, news.AskEvacuations{},
		news.Heartbeat{Summary: news.Summary{Evacuations: news.Known{Era: 2, Revision: 43, Age: 12, Digest: 7}}},
		news.Heartbeat{Summary: news.Summary{Rules: news.Known{Revision: 43, Age: 12}, Servers: news.Known{Revision: 44}}},
		news.Generations{VMs: []news.Generation{{Name: "gateway-1", Generation: 41_000}}},
		news.Statements{Servers: []mustardsaddle.ServerStatement{
			{Name: "booking-07", Incarnation: 1_800_000_000, Seq: 3, Statement: mustardsaddle.Statement{}.WithLimit(1.3)},
		}},
		news.Heartbeat{Summary: news.Summary{StatementsDigest: 0xfedcba9876543210}},
		news.Reaches{Gateways: []mustardsaddle.GatewayReach{
			{Name: "gateway-1", Incarnation: 7, Seq: 2, Lost: []string{"Booking", "Rosters"}}, {Name: "gateway-2", Seq: 1},
		}},
		news.Suspicions{Requests: []mustardsaddle.RequestSuspicion{
			{
				Digest: mustardsaddle.RequestDigest{1, 2, 3}, Head: 0xfedcba9876543210, Service: "Booking", Epoch: 2, Retests: 1, Age: time.Second,
				Crashes: []mustardsaddle.Instance{{Name: "booking-01", Incarnation: 7}, {Name: "booking-01", Incarnation: 8}},
			},
			{Digest: mustardsaddle.RequestDigest{4}, Epoch: 1},
		}},
		news.Heartbeat{Summary: news.Summary{SuspicionsDigest: 0xfedcba9876543210}},
		news.AskMachines{}, news.Machines{Machines: []mustardsaddle.Machine{{
			Name: "booking-07", Incarnation: 1_800_000_000, Zone: "perth-1", Service: "Booking",
			Address: "10.0.0.7:8080", Slots: 2, Connections: 200,
		}}},
	}
}

func mustMarshal(t testing.TB, v any) []byte {
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
		return mustMarshal(t, envelope{1, "Marks", news.Marks{Marks: m}})
	}
	statements := func(s ...mustardsaddle.ServerStatement) []byte {
		return mustMarshal(t, envelope{1, "Statements", news.Statements{Servers: s}})
	}
	limited := func(perSecond float64) mustardsaddle.ServerStatement {
		return mustardsaddle.ServerStatement{Name: "x", Seq: 1, Statement: mustardsaddle.Statement{}.WithLimit(perSecond)}
	}
	for _, c := range []struct {
		name string
		in   []byte
		want code.Code
	}{
		{"an empty message", nil, code.PeerBadMessage},
		{"text in place of CBOR", []byte("GET / HTTP/1.1\r\n"), code.PeerBadMessage},
		{"a newer format", mustMarshal(t, envelope{3, "Marks", 7}), code.PeerNewerFormat},
		{"a newer format with other field types", mustMarshal(t, map[string]any{"Format": 3, "Type": 9}), code.PeerNewerFormat},
		{"format 0", mustMarshal(t, envelope{0, "Marks", news.Marks{}}), code.PeerBadMessage},
		{"an empty type", mustMarshal(t, envelope{1, "", nil}), code.PeerBadMessage},
		{"a body that does not match the type", mustMarshal(t, envelope{1, "Marks", 7}), code.PeerBadMessage},
		{"a missing body", mustMarshal(t, map[string]any{"Format": 1, "Type": "Marks"}), code.PeerBadMessage},
		{"trailing bytes", append(marks(mark), 0), code.PeerBadMessage},
		{"a duplicate field", []byte("\xa2\x66Format\x01\x66Format\x01"), code.PeerBadMessage},
		{"a message above the size limit", make([]byte, news.MaxBytes+1), code.PeerBadMessage},
		{"a listing without a revision", mustMarshal(t, envelope{1, "Listing", news.Listing{Whole: true}}), code.PeerBadMessage},
		{"evacuations without a revision", mustMarshal(t, envelope{1, "Evacuations", news.Evacuations{}}), code.PeerBadMessage},
		{"an evacuated zone without a name", mustMarshal(t, envelope{1, "Evacuations", news.Evacuations{Revision: 1, Zones: []string{""}}}), code.PeerBadMessage},
		{"a summary with a negative age", mustMarshal(t, envelope{1, "Heartbeat", news.Heartbeat{Summary: news.Summary{Rules: news.Known{Age: -1}}}}), code.PeerBadMessage},
		{"too many marks", marks(make([]mustardsaddle.Mark, news.MaxMarks+1)...), code.PeerBadMessage},
		{"a mark without the name of a VM", marks(mustardsaddle.Mark{}), code.PeerBadMessage},
		{"a mark with a name above the length limit", marks(mustardsaddle.Mark{Name: strings.Repeat("x", mustardsaddle.MaxNameBytes+1)}), code.PeerBadMessage},
		{"a mark with a Seq above FinalSeq", marks(mustardsaddle.Mark{Name: "x", Seq: 1 << 31}), code.PeerBadMessage},
		{"a rule change that does not advance the generation", mustMarshal(t, envelope{1, "RuleChange", news.RuleChange{From: 3, To: 3}}), code.PeerBadMessage},
		{"a rule change with a negative line position", mustMarshal(t, envelope{1, "RuleChange", news.RuleChange{To: 1, In: []news.RuleEdit{{At: -1}}}}), code.PeerBadMessage},
		{"a Hello without the name of a VM", mustMarshal(t, envelope{1, "Hello", news.Hello{}}), code.PeerBadMessage},
		{"a VM without a name", mustMarshal(t, envelope{1, "Machines", news.Machines{Machines: make([]mustardsaddle.Machine, 1)}}), code.PeerBadMessage},
		{"too many statements", statements(make([]mustardsaddle.ServerStatement, news.MaxMarks+1)...), code.PeerBadMessage},
		{"a statement without the name of a server", statements(mustardsaddle.ServerStatement{Seq: 1}), code.PeerBadMessage},
		{"a statement without Seq", statements(mustardsaddle.ServerStatement{Name: "x"}), code.PeerBadMessage},
		{"a statement with a negative limit", statements(limited(-1)), code.PeerBadMessage},
		{"a statement with a limit that is no number", statements(limited(math.NaN())), code.PeerBadMessage},
		{"a valid statement", statements(limited(0)), code.OK},
		{"a negative generation", mustMarshal(t, envelope{1, "AskRules", news.AskRules{Have: -1}}), code.PeerBadMessage},
		{"an unknown field", mustMarshal(t, envelope{1, "AskRules", map[string]any{"Have": 1, "Why": "x"}}), code.OK},
		{"an unknown type", mustMarshal(t, envelope{1, "Weather", 7}), code.OK},
		{"a valid message", marks(mark), code.OK},
	} {
		convey.Convey("Decode of "+c.name, t, func() {
			_, err := codec.Decode(c.in)
			convey.So(code.Of(err), convey.ShouldEqual, c.want)
		})
	}
	convey.Convey("Encode rejects a rules text above the size limit, and both accept one at the limit", t, func() {
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
		for _, msg := range append(sampleMessages(), news.Marks{Marks: marks}) {
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

// TestLargeBodies guards against sending whole rules files uncompressed over the links of
// small VMs, and against a compressed message that decodes to more than MaxBytes.
func TestLargeBodies(t *testing.T) {
	codec := news.NewCodec()
	var text strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&text, "Host=sheds.example Path=/%08x/* Service=Booking Deadline=1.2s Repeat=Yes Attempts=2 Priority=1 # Mei Lin: route %d\n", uint32(i)*2654435761, i)
	}
	listing := news.Listing{Whole: true, Revision: 7, Generation: 3, Rules: text.String()}
	b, err := codec.Encode(listing)
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > text.Len()/4 {
		t.Errorf("got %d bytes for rules of %d bytes, want at most a quarter", len(b), text.Len())
	}
	got, err := codec.Decode(b)
	if err != nil || !reflect.DeepEqual(got, listing) {
		t.Errorf("got a listing of generation %d and error %v, want the encoded one", got.(news.Listing).Generation, err)
	}
	for _, c := range []struct {
		name       string
		compressed []byte
	}{
		{"not compressed", []byte("rules")},
		{"too large", deflate(t, make([]byte, news.MaxBytes+1))},
		{"not a message", deflate(t, []byte("rules"))},
	} {
		message := mustMarshal(t, map[string]any{"Format": news.FormatCompressed, "Type": "Listing", "Compressed": c.compressed})
		if _, err := codec.Decode(message); code.Of(err) != code.PeerBadMessage {
			t.Errorf("%s: got error %v, want code PeerBadMessage", c.name, err)
		}
	}
}

// deflate compresses data.
func deflate(t *testing.T, data []byte) []byte {
	t.Helper()
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(data); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func FuzzDecode(f *testing.F) {
	codec := news.NewCodec()
	for _, msg := range sampleMessages() {
		b, err := codec.Encode(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add(mustMarshal(f, envelope{3, "Marks", 7}))
	f.Add(mustMarshal(f, envelope{1, "Weather", 7}))
	f.Add([]byte("\x9f\xbf\xff"))
	f.Fuzz(func(t *testing.T, b []byte) {
		msg, err := codec.Decode(b)
		if err != nil {
			if c := code.Of(err); c != code.PeerBadMessage && c != code.PeerNewerFormat {
				t.Fatalf("got code %v, want PeerBadMessage or PeerNewerFormat", c)
			}
			return
		}
		if msg.Type() == news.TypeUnknown {
			return
		}
		encoded, err := codec.Encode(msg)
		if err != nil {
			t.Fatalf("encode the decoded message: %v", err)
		}
		if redecoded, err := codec.Decode(encoded); err != nil || !reflect.DeepEqual(redecoded, msg) {
			t.Fatalf("got %v %v, want %v", redecoded, err, msg)
		}
	})
}

// BenchmarkMessage measures the encoded size of each sample message, and the time
// to encode and decode it.
func BenchmarkMessage(b *testing.B) {
	codec := news.NewCodec()
	for _, msg := range sampleMessages() {
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
