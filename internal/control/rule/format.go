package rule

import (
	"math"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

// format holds the syntax and the limits of a text with rules.
type format struct {
	// maxBytes and maxLineBytes are the maximum sizes of the text and of one line.
	maxBytes, maxLineBytes int
	// maxNameBytes is the maximum length of a customer's name.
	maxNameBytes int
	// maxDuration is the upper limit of Deadline, Target and Idle, and maxWarmUp that of WarmUp.
	maxDuration, maxWarmUp time.Duration
	// minWarmUpRate is the lower limit of WarmUpRate in requests per second.
	minWarmUpRate float64
	// maxAttempts is the upper limit of Attempts.
	maxAttempts int
	// maxPriority is the upper limit of Priority, which is the lowest priority.
	maxPriority int
	// directory is true if names are any text, as EncodeName encodes them, and routes may have
	// a Prefix.
	directory bool
}

// operatorFormat returns the format of the rules file that operators write. Its limits find
// mistakes in writing.
func operatorFormat() format {
	return format{
		maxBytes: MaxFileBytes, maxLineBytes: MaxLineBytes, maxNameBytes: 128,
		maxDuration: 24 * time.Hour, maxWarmUp: 10 * time.Minute, minWarmUpRate: 0.01, maxAttempts: 16, maxPriority: 1000,
	}
}

// Limits of the values in the rules of a directory. They lie beyond any value with an effect of
// its own, so that an adapter can replace a higher one by the limit.
const (
	// MaxDuration is the upper limit of durations. It can be multiplied by a percentage.
	MaxDuration = 365 * 24 * time.Hour
	// MinWarmUpRate is the lower limit of WarmUpRate in requests per second.
	MinWarmUpRate = 1e-6
	// MaxAttempts is the upper limit of Attempts.
	MaxAttempts = 1 << 20
	// MaxPriority is the upper limit of Priority.
	MaxPriority = math.MaxInt32
)

// directoryFormat returns the format of the rules of a directory.
func directoryFormat() format {
	return format{
		maxBytes: MaxDirectoryBytes, maxLineBytes: MaxDirectoryBytes, maxNameBytes: mustardsaddle.MaxNameBytes,
		maxDuration: MaxDuration, maxWarmUp: mustardsaddle.MaxWarmUp, minWarmUpRate: MinWarmUpRate,
		maxAttempts: MaxAttempts, maxPriority: MaxPriority, directory: true,
	}
}
