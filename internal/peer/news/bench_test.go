package news_test

import (
	"testing"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

// BenchmarkEncodeStatement reports the time and the size of a message with one statement of
// a server.
func BenchmarkEncodeStatement(b *testing.B) {
	codec := news.NewCodec()
	msg := news.Statements{Servers: []mustardsaddle.ServerStatement{
		{Name: "booking-0007", Incarnation: 1_800_000_000_000, Seq: 3, Statement: mustardsaddle.Statement{}.WithLimit(1.3)},
	}}
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

// BenchmarkReaches measures the size of a statement of one gateway about a lost service.
func BenchmarkReaches(b *testing.B) {
	codec := news.NewCodec()
	msg := news.Reaches{Gateways: []mustardsaddle.GatewayReach{
		{Name: "gateway-0007", Incarnation: 1_800_000_000_000, Seq: 3, Lost: []string{"Booking", "Rosters"}},
	}}
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
