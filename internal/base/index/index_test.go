package index_test

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle/internal/base/index"
)

const maxKey = 200

// checkEqual fails unless a map has the entries of another one.
func checkEqual(t *rapid.T, got index.Map[int, string], want map[int]string) {
	t.Helper()
	if got.Len() != len(want) {
		t.Fatalf("got %d entries, want %d", got.Len(), len(want))
	}
	for key := range maxKey + 1 {
		value, ok := got.Get(key)
		if expected, has := want[key]; ok != has || value != expected {
			t.Fatalf("got %q, %v for key %d, want %q, %v", value, ok, key, expected, has)
		}
	}
}

// TestMapsAreImmutable checks that each map keeps its entries while later ones are built from it.
func TestMapsAreImmutable(t *testing.T) {
	type version struct {
		got  index.Map[int, string]
		want map[int]string
	}
	rapid.Check(t, func(t *rapid.T) {
		versions := []version{{want: map[int]string{}}}
		for i := range rapid.IntRange(1, 6).Draw(t, "versions") {
			from := rapid.SampledFrom(versions).Draw(t, "from")
			editor, want := from.got.Edit(), maps.Clone(from.want)
			editor.Reserve(rapid.IntRange(0, 50).Draw(t, "reserve"))
			for _, key := range rapid.SliceOfN(rapid.IntRange(0, maxKey), 0, 150).Draw(t, "keys") {
				if key%3 == i%3 {
					editor.Delete(key)
					delete(want, key)
					continue
				}
				value := fmt.Sprintf("%d of version %d", key, i)
				editor.Set(key, value)
				want[key] = value
				if got, ok := editor.Get(key); !ok || got != value {
					t.Fatalf("got %q, %v from the editor, want %q", got, ok, value)
				}
			}
			versions = append(versions, version{got: editor.Map(), want: want})
			editor.Set(maxKey, "after Map")
		}
		for _, v := range versions {
			checkEqual(t, v.got, v.want)
		}
	})
}

// BenchmarkSet measures a copy of maps of several sizes with one changed entry.
func BenchmarkSet(b *testing.B) {
	for _, n := range []int{200, 5600, 100_000} {
		b.Run(fmt.Sprintf("Entries=%d", n), func(b *testing.B) {
			editor := index.Map[string, int]{}.Edit()
			for i := range n {
				editor.Set(fmt.Sprintf("key %d", i), i)
			}
			m := editor.Map()
			b.ReportAllocs()
			for b.Loop() {
				e := m.Edit()
				e.Set("key 7", -1)
				m = e.Map()
			}
		})
	}
}
