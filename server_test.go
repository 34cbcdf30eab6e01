package mustardsaddle_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle"
)

func drawMark(t *rapid.T, label string) mustardsaddle.Mark {
	return mustardsaddle.Mark{
		Name:        "booking-01",
		Incarnation: rapid.Int64Range(0, 3).Draw(t, label+"Incarnation"),
		Seq:         rapid.Int64Range(0, 3).Draw(t, label+"Seq"),
		Leaving:     rapid.Bool().Draw(t, label+"Leaving"),
	}
}

// merge returns the newer of two marks.
func merge(a, b mustardsaddle.Mark) mustardsaddle.Mark {
	if b.Newer(a) {
		return b
	}
	return a
}

func TestMarkMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawMark(t, "A"), drawMark(t, "B"), drawMark(t, "C")
		if merge(merge(a, b), c) != merge(merge(c, a), b) {
			t.Fatalf("marks %v %v %v: got different results in different merge orders", a, b, c)
		}
	})
}

func TestOlderLiveNeverUndoesLeaving(t *testing.T) {
	convey.Convey("Given a VM that is marked as leaving", t, func() {
		leaving := mustardsaddle.Mark{Name: "booking-01", Incarnation: 2, Seq: 1, Leaving: true}
		convey.Convey("A live mark of the same or an older incarnation does not replace it", func() {
			convey.So(mustardsaddle.Mark{Incarnation: 2, Seq: 1}.Newer(leaving), convey.ShouldBeFalse)
			convey.So(mustardsaddle.Mark{Incarnation: 1, Seq: 9}.Newer(leaving), convey.ShouldBeFalse)
		})
		convey.Convey("A live mark of a newer incarnation replaces it", func() {
			convey.So(mustardsaddle.Mark{Incarnation: 3}.Newer(leaving), convey.ShouldBeTrue)
		})
	})
}
