package catalog_test

import (
	"runtime"
	"testing"

	"mustardsaddle.example/mustardsaddle/internal/control/catalog"
)

// Limits of what a version of the rules may cost for each route that it leaves unchanged.
const (
	maxUnchangedAllocs = 0.25
	maxUnchangedBytes  = 128
)

// TestVersionCostsWhatItChanges guards against versions of the rules that make calls late because a gateway
// parses and compiles also the routes that they leave unchanged.
func TestVersionCostsWhatItChanges(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const few, many = 200, 5600
	for _, tt := range []struct {
		name    string
		version func(testing.TB, int) version
		receive func(testing.TB, *catalog.Catalog, version)
	}{
		{"weights of one route, from the directory", smallVersion, receiveFromDirectory},
		{"weights of one route, from a peer", smallVersion, receiveFromPeer},
		{"1,400 routes more, from the directory", largeVersion, receiveFromDirectory},
		{"1,400 routes more, from a peer", largeVersion, receiveFromPeer},
	} {
		t.Run(tt.name, func(t *testing.T) {
			allocs, bytes := versionCost(t, tt.version(t, few), tt.receive)
			moreAllocs, moreBytes := versionCost(t, tt.version(t, many), tt.receive)
			if got := (moreAllocs - allocs) / (many - few); got > maxUnchangedAllocs {
				t.Errorf("got %.2f allocations for each unchanged route, want at most %g", got, maxUnchangedAllocs)
			}
			if got := (moreBytes - bytes) / (many - few); got > maxUnchangedBytes {
				t.Errorf("got %.0f bytes for each unchanged route, want at most %d", got, maxUnchangedBytes)
			}
		})
	}
}

// versionCost returns the least number and size of the allocations of several runs.
func versionCost(t *testing.T, v version, receive func(testing.TB, *catalog.Catalog, version)) (allocs, bytes float64) {
	t.Helper()
	const runs = 3
	for i := range runs {
		c := newVersionCatalog(t, v)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		receive(t, c, v)
		runtime.ReadMemStats(&after)
		n, size := float64(after.Mallocs-before.Mallocs), float64(after.TotalAlloc-before.TotalAlloc)
		if i == 0 {
			allocs, bytes = n, size
		}
		allocs, bytes = min(allocs, n), min(bytes, size)
	}
	return allocs, bytes
}
