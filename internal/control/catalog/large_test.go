package catalog_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/catalog"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// rulesOfSize returns rules of at least the given size in bytes.
func rulesOfSize(generation int64, size int) *mustardsaddle.RulesText {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		_, _ = fmt.Fprintf(&b, "Host=%063d.example Path=/k%07d/* Service=Booking Deadline=1s # Mei Lin: rosters\n", i, i)
	}
	return &mustardsaddle.RulesText{Generation: generation, Text: b.String()}
}

// TestGrownRulesReplaceNoneByNothing guards against rules that are larger than a rules file may be
// removing all rules in force: those that a directory can hold are put in force, and larger ones
// leave the former ones in force.
func TestGrownRulesReplaceNoneByNothing(t *testing.T) {
	tests := []struct {
		name string
		size int
		want int64
	}{
		{"the size of a rules file", rule.MaxFileBytes, 2},
		{"twice the size of a rules file", 2 * rule.MaxFileBytes, 2},
		{"more than a directory holds", rule.MaxDirectoryBytes + 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			var inForce *rule.Table
			c := catalog.New(catalog.Config{
				Stale: time.Hour, Reader: func(mustardsaddle.Collection) bool { return true },
				InForce: func(table *rule.Table) { inForce = table },
			})
			for i, r := range []*mustardsaddle.RulesText{rulesOfSize(1, 100), rulesOfSize(2, tt.size)} {
				u := mustardsaddle.Update{Whole: true, Position: mustardsaddle.Position{Revision: int64(i + 1)}, Rules: r}
				if err := c.ReceiveResponse(now, now, mustardsaddle.RulesCollection, u); err != nil {
					t.Fatal(err)
				}
			}
			if inForce.File.Generation != tt.want || len(inForce.File.Rules()) == 0 {
				t.Errorf("got generation %d with %d rules in force, want %d with some", inForce.File.Generation, len(inForce.File.Rules()), tt.want)
			}
		})
	}
}
