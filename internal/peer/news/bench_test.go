package news_test

import (
	"testing"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

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
