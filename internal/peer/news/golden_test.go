package news_test

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

// goldenMessages returns what the messages in testdata/4e2c89f say, by file name.
func goldenMessages() map[string]news.Message {
	m := map[string]news.Message{
		"00-Hello": hello, "01-Heartbeat": news.Heartbeat{Summary: summary}, "02-Marks": news.Marks{Marks: []mustardsaddle.Mark{mark}},
		"03-RuleChange": change, "04-AskRules": news.AskRules{Have: 40_000},
		"05-WholeRules":  news.WholeRules{Generation: 1, Text: "# Generation 1\n"},
		"07-Listing":     news.Listing{Whole: true, Revision: 43, Generation: 12, Rules: "Path=/rosters Service=Booking # Mei Lin: rosters\n"},
		"08-AskListing":  news.AskListing{Servers: true},
		"09-Heartbeat":   news.Heartbeat{Summary: news.Summary{Rules: news.Known{Revision: 43, Age: 12}, Servers: news.Known{Revision: 44}}},
		"10-Generations": news.Generations{VMs: []news.Generation{{Name: "gateway-1", Generation: 41_000}}},
		"12-Heartbeat":   news.Heartbeat{Summary: news.Summary{StatementsDigest: 0xfedcba9876543210}},
		// It states ReachDigest, which later builds skip.
		"14-Heartbeat":   news.Heartbeat{},
		"16-Heartbeat":   news.Heartbeat{Summary: news.Summary{SuspicionsDigest: 0xfedcba9876543210}},
		"17-AskMachines": news.AskMachines{},
	}
	m["06-Listing"] = news.Listing{
		Servers: true, After: 41, Revision: 43, Removed: []string{"booking-08"},
		Machines: []mustardsaddle.Machine{{Name: "booking-07", Incarnation: 1_800_000_000, Service: "Booking", WarmUp: 1e9}},
	}
	m["11-Statements"] = news.Statements{Servers: []mustardsaddle.ServerStatement{
		{Name: "booking-07", Incarnation: 1_800_000_000, Seq: 3, Statement: mustardsaddle.Statement{}.WithLimit(1.3)},
	}}
	m["13-Reaches"] = news.Reaches{Gateways: []mustardsaddle.GatewayReach{
		{Name: "gateway-1", Incarnation: 7, Seq: 2, Lost: []string{"Booking", "Rosters"}}, {Name: "gateway-2", Seq: 1},
	}}
	m["15-Suspicions"] = news.Suspicions{Requests: []mustardsaddle.RequestSuspicion{
		{
			Digest: mustardsaddle.RequestDigest{1, 2, 3}, Head: 0xfedcba9876543210, Service: "Booking", Epoch: 2, Retests: 1, Age: 1e9,
			Crashes: []mustardsaddle.Instance{{Name: "booking-01", Incarnation: 7}, {Name: "booking-01", Incarnation: 8}},
		},
		{Digest: mustardsaddle.RequestDigest{4}, Epoch: 1},
	}}
	m["18-Machines"] = news.Machines{Machines: []mustardsaddle.Machine{{
		Name: "booking-07", Incarnation: 1_800_000_000, Zone: "perth-1", Service: "Booking",
		Address: "10.0.0.7:8080", Slots: 2, Connections: 200,
	}}}
	return m
}

// The files were written by the codec of commit 4e2c89f.
func TestDecodeOlderMessages(t *testing.T) {
	types := make(map[news.Type]bool)
	for name, want := range goldenMessages() {
		b, err := os.ReadFile(filepath.Join("testdata", "4e2c89f", name+".cbor"))
		if err != nil {
			t.Fatal(err)
		}
		got, err := news.NewCodec().Decode(b)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, error %v, want %+v", name, got, err, want)
		}
		types[want.Type()] = true
	}
	// TypeSuspicions is the last type that this commit knew.
	for typ := news.TypeHello; typ <= news.TypeSuspicions; typ++ {
		if !types[typ] {
			t.Errorf("got no message of type %v, want one of each", typ)
		}
	}
}

// A message of a later build has fields and types that this build does not know.
func TestDecodeLaterMessages(t *testing.T) {
	codec := news.NewCodec()
	got, err := codec.Decode(mustMarshal(t, envelope{1, "Weather", map[string]any{"Rain": true}}))
	if want := (news.Unknown{Name: "Weather"}); err != nil || got != want {
		t.Errorf("unknown type: got %+v, error %v, want %+v", got, err, want)
	}
	got, err = codec.Decode(mustMarshal(t, envelope{1, "AskRules", map[string]any{"Have": 7, "Weather": []string{"Rain"}}}))
	if want := (news.AskRules{Have: 7}); err != nil || got != want {
		t.Errorf("unknown field: got %+v, error %v, want %+v", got, err, want)
	}
}
