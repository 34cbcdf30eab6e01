package pace_test

import (
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/pace"
)

// TestSliceEnds guards against a slice that ends too late, so that calls wait for it, or too early.
func TestSliceEnds(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, tt := range []struct {
		name  string
		work  []int
		after time.Duration
		want  time.Duration
	}{
		{"little work", []int{1, 2}, pace.MaxSlice - 1, 0},
		{"work of a slice", []int{pace.MaxWork - 1, 1}, 0, pace.Pause},
		{"almost the work of a slice", []int{pace.MaxWork / 2, pace.MaxWork/2 - 1}, 0, 0},
		{"time of a slice", []int{1}, pace.MaxSlice, pace.Pause},
	} {
		t.Run(tt.name, func(t *testing.T) {
			pacer, got := pace.Start(start), time.Duration(0)
			for _, work := range tt.work {
				pacer, got = pacer.Next(start.Add(tt.after), work)
			}
			if got != tt.want {
				t.Errorf("got a pause of %s, want %s", got, tt.want)
			}
		})
	}
}
