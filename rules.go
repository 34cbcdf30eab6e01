package mustardsaddle

// RulesText is a rules file as returned by a Directory.
type RulesText struct {
	// Generation orders the versions of the rules. It may grow by any step.
	Generation int64
	// Text is the content of the rules file.
	Text string
}

// RuleEdit is one line that a RuleChange removes or inserts.
type RuleEdit struct {
	// At is the zero-based index of the line in the rules file, below its header.
	At int
	// Text is the line.
	Text string
}

// RuleChange is the difference between one generation of the rules and a later one. Its
// size depends only on the lines that differ.
type RuleChange struct {
	// From is the generation to which the change applies; 0 is the empty file.
	From int64
	// To is the generation that results.
	To int64
	// Submission is the submission that caused the change; 0 if it is unknown.
	Submission int64
	// Out holds the removed lines, with their indexes in generation From.
	Out []RuleEdit
	// In holds the inserted lines, with their indexes in generation To.
	In []RuleEdit
	// Digest is the digest of the rules file of generation To.
	Digest uint64
}
