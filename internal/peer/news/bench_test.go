package news_test

import (
	"fmt"
	"testing"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

// newRoutes is the number of routes that a large version of the rules adds.
const newRoutes = 1400

// benchmarkEncode reports the time to encode a message, and its size.
func benchmarkEncode(b *testing.B, msg news.Message) {
	codec := news.NewCodec()
	size := 0
	for b.Loop() {
		encoded, err := codec.Encode(msg)
		if err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "bytes/msg")
}

// BenchmarkEncodeStatement measures a message with one statement of a server.
func BenchmarkEncodeStatement(b *testing.B) {
	benchmarkEncode(b, news.Statements{Servers: []mustardsaddle.ServerStatement{
		{Name: "booking-0007", Incarnation: 1_800_000_000_000, Seq: 3, Statement: mustardsaddle.Statement{}.WithLimit(1.3)},
	}})
}

// BenchmarkReaches measures a statement of one gateway about a lost service.
func BenchmarkReaches(b *testing.B) {
	benchmarkEncode(b, news.Reaches{Gateways: []mustardsaddle.GatewayReach{
		{Name: "gateway-0007", Incarnation: 1_800_000_000_000, Seq: 3, Lost: []string{"Booking", "Rosters"}},
	}})
}

// BenchmarkSuspicions measures a message about one request under which a server has ended.
func BenchmarkSuspicions(b *testing.B) {
	benchmarkEncode(b, news.Suspicions{Requests: []mustardsaddle.RequestSuspicion{{
		Digest: mustardsaddle.RequestDigest{1}, Head: 1 << 63, Service: "Booking",
		Crashes: []mustardsaddle.Instance{{Name: "booking-0007", Incarnation: 1_800_000_000_000}},
	}}})
}

// largeListing returns the listing of a version of the rules with the given number of new routes.
func largeListing(routes int) news.Listing {
	c := &news.RuleChange{From: 12, To: 13, Digest: 1 << 60}
	for i := range routes {
		c.In = append(c.In, mustardsaddle.RuleEdit{At: 40 + i, Text: fmt.Sprintf("Host=shop%d.example Prefix=/items%d/ Service=%s "+
			"Deadline=2.5s Repeat=Yes Attempts=3 Target=600ms Priority=%d # Platform operator: route r%d", i%97, i*7919%9973, []string{"Rosters", "Booking", "Photos"}[i%3], i%3, i)})
	}
	return news.Listing{After: 41, Revision: 43, Digest: 7, RuleChange: c, Reading: mustardsaddle.Reading{Gateway: "gateway-1", Incarnation: 1_800_000_000_000, Seq: 9}}
}

// BenchmarkEncodeRules measures listings of a version of the rules with many new routes.
func BenchmarkEncodeRules(b *testing.B) {
	codec, msg := news.NewCodec(), largeListing(newRoutes)
	b.ReportAllocs()
	for b.Loop() {
		msg.Age++
		if _, err := codec.Encode(msg); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkForwardRules measures the same listing again and again, as it is forwarded.
func BenchmarkForwardRules(b *testing.B) {
	b.ReportAllocs()
	benchmarkEncode(b, largeListing(newRoutes))
}

// BenchmarkDecodeRules measures the listing of a version of the rules with many new routes.
func BenchmarkDecodeRules(b *testing.B) {
	codec := news.NewCodec()
	encoded, err := codec.Encode(largeListing(newRoutes))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := codec.Decode(encoded); err != nil {
			b.Fatal(err)
		}
	}
}
