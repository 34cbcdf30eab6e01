package download_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle/internal/request/download"
)

var (
	start    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	deadline = start.Add(2 * time.Second)
)

const progress = 15 * time.Second

// at returns the time that is so many milliseconds after the start.
func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// read is a read of a body, in milliseconds since the start.
type read struct{ began, ended, bytes int }

func TestEndOfWait(t *testing.T) {
	tests := []struct {
		name     string
		deadline time.Time
		reads    []read
		now      int
		want     int
	}{
		{"no deadline", time.Time{}, nil, 100, 15100},
		{"no deadline, slowly", time.Time{}, []read{{0, 9000, 1}}, 9000, 24000},
		{"silent since the header", deadline, nil, 100, 2000},
		{"silent for as long as before at the deadline", deadline, []read{{0, 1100, 9000}}, 1100, 2400},
		{"silent for more than a second", deadline, []read{{0, 500, 9000}}, 500, 2000},
		{"silent for longer than usual", deadline, []read{{1400, 1450, 9000}, {1450, 1500, 9000}, {1500, 1550, 9000}}, 1550, 2000},
		{"pauses no longer than usual", deadline, []read{{0, 500, 9000}, {500, 1000, 9000}, {1000, 1500, 9000}}, 1500, 2400},
		{"a long pause among short ones", deadline, []read{{0, 500, 9000}, {500, 510, 9000}, {510, 520, 9000}, {520, 1500, 9000}, {1500, 1510, 9000}}, 1510, 2400},
		{"a pause longer than the few before", deadline, []read{{1550, 1600, 9000}, {1600, 1650, 9000}, {1650, 1700, 9000}}, 1700, 2400},
		{"drips before the deadline", deadline, []read{{0, 900, 10}, {900, 1900, 10}}, 1900, 2000},
		{"drips across the deadline", deadline, []read{{0, 1900, 9000}, {1900, 2100, 10}, {2100, 2300, 10}}, 2300, 2400},
		{"moves at the deadline", deadline, []read{{0, 1900, 9000}, {1900, 2050, 9000}}, 2050, 3050},
		{"moves long after it", deadline, []read{{0, 1900, 9000}, {1900, 2050, 9000}, {2050, 9000, 1024}}, 9000, 10000},
		{"drips after it", deadline, []read{{0, 2050, 9000}, {2050, 2700, 1000}}, 2700, 3050},
		{"caller is slow across the deadline", deadline, []read{{0, 1500, 9000}}, 5000, 6000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := download.NewWait(download.Config{Deadline: tt.deadline, ProgressTimeout: progress})
			for _, r := range tt.reads {
				w = w.WithRead(at(r.began), at(r.ended), r.bytes)
			}
			if got := w.EndsAt(at(tt.now)); !got.Equal(at(tt.want)) {
				t.Errorf("got the end at %v, want %v", got.Sub(start), at(tt.want).Sub(start))
			}
		})
	}
}

func TestTimeToAsk(t *testing.T) {
	tests := []struct {
		name     string
		deadline time.Time
		now      int
		want     int // 0: not at all
	}{
		{"no deadline", time.Time{}, 0, 1000},
		{"a quarter of the time left", deadline, 400, 800},
		{"little time left", deadline, 1800, 1900},
		{"too little time left", deadline, 1900, 0},
		{"after the deadline", deadline, 2100, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := download.NewWait(download.Config{Deadline: tt.deadline, ProgressTimeout: progress})
			got, ok := w.AsksAt(at(tt.now))
			if ok != (tt.want > 0) || ok && !got.Equal(at(tt.want)) {
				t.Errorf("got %v, %v, want %d ms", got.Sub(start), ok, tt.want)
			}
		})
	}
}

// TestWaitProperty plays reads of random length, and pauses between them, until the wait ends.
func TestWaitProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := download.NewWait(download.Config{Deadline: deadline, ProgressTimeout: progress})
		now, moved := start, start
		for range rapid.IntRange(1, 40).Draw(t, "Reads") {
			began := now
			ends := w.EndsAt(began)
			took := time.Duration(rapid.IntRange(0, 700).Draw(t, "Took")) * time.Millisecond
			if silent := !ends.After(began.Add(took)); silent {
				if ends.Before(deadline) && ends.Sub(began) < progress {
					t.Fatalf("silent read from %v ends at %v, want no end before the deadline", began.Sub(start), ends.Sub(start))
				}
				if moved.Before(deadline) && !began.After(deadline) && ends.After(deadline.Add(download.Grace)) {
					t.Fatalf("silent read from %v ends at %v, want at most %v after the deadline", began.Sub(start), ends.Sub(start), download.Grace)
				}
				return
			}
			now = began.Add(took)
			n := rapid.SampledFrom([]int{1, 100, 1024, 32768}).Draw(t, "Bytes")
			if n >= 1024 {
				moved = now
			}
			w = w.WithRead(began, now, n)
			if n >= 1024 && w.EndsAt(now).Before(now.Add(download.Grace)) && now.After(deadline) {
				t.Fatalf("a body that has just moved ends at %v, %v after it", w.EndsAt(now).Sub(start), w.EndsAt(now).Sub(now))
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "Pause")) * time.Millisecond)
		}
	})
}
