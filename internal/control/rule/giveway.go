package rule

// GiveWay is called within long operations, after each part of them, with the work of the part.
// It may wait, to let others use the processor, or return false to end the operation.
type GiveWay func(work int) bool

// Work of the parts of an operation. One unit is the work for a line that is only compared.
const (
	compareWork = 1
	parseWork   = 32
	compileWork = 16
)

// proceed is a GiveWay that never waits.
func proceed(int) bool { return true }
