package command_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/product/command"
)

// TestFurtherSignalsChangeNothing guards against a second signal ending a stop that has begun.
func TestFurtherSignalsChangeNothing(t *testing.T) {
	signals := make(chan os.Signal)
	var out bytes.Buffer
	cfg := command.Config{Out: &out, Err: &out, Stop: signals, Serve: func(ctx context.Context, _ command.GatewayConfig) error {
		select {
		case <-ctx.Done():
			t.Error("got a stop before any signal")
		case <-time.After(time.Millisecond):
		}
		signals <- syscall.SIGTERM
		<-ctx.Done()
		signals <- syscall.SIGTERM
		signals <- os.Interrupt
		return nil
	}}
	status := command.Run(context.Background(), cfg, []string{"serve", "--settings", filepath.Join(writeFiles(t), "good.ini")})
	if status != command.Done || strings.Count(out.String(), "StopRepeated") != 2 {
		t.Errorf("got status %v and log %s, want Done and two lines StopRepeated", status, out.String())
	}
}
