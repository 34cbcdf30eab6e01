// Package rule is the pure core of the routing rules: it reads the operators'
// rules file, decides which submissions are accepted, expresses changes between
// generations, and compiles the rules in force into a router. Nothing in it
// performs I/O, reads a clock or starts a goroutine.
//
// # Usage
//
// Check a file and route a request:
//
//	file, problems := rule.Parse(text)
//	table := rule.Compile(file)
//	route, ok := table.Match(r)
//
// Decide about a submission, and bring another copy up to date:
//
//	decision := rule.Accept(now, accepted, submission)
//	change := rule.Diff(accepted.File, decision.Next.File)
//	next, result := change.Apply(other)
//
// # The rules file
//
// The file is UTF-8 text with one rule a line. A rule is a list of Name=Value
// fields and a comment that names who asked for it and why:
//
//	# Generation 41
//	Path=/rosters Service=Booking Deadline=2s # Mei Lin: members browse rosters
//	Path=/videos/* Service=Library # Tan: induction videos
//
// The first line names the generation that the operator edited. Lines that
// start with # are comments and are kept, as are empty lines and the order of
// lines. A rule is identified by its Host, Path and Method.
//
// # Which rule wins
//
// The most specific rule that matches wins; the order of lines has no meaning.
// A rule with a Host comes before one without. Then paths are compared segment
// by segment: a literal segment comes before {Name}, which stands for exactly
// one segment, and that before a final *, which stands for any rest. Last, a
// rule with a Method comes before one without; GET covers HEAD unless a rule
// names HEAD. Table.Explain shows the rules considered, in this order.
package rule
