// Package rule implements the routing rules as pure functions: it parses the
// operators' rules file, validates and merges submitted files, computes and
// applies diffs between generations, and compiles the rules in force into a
// routing table. Nothing in it performs I/O, reads a clock or starts a goroutine.
//
// # Usage
//
// Check a file and route a request:
//
//	file, problems := rule.Parse(text)
//	table := rule.Compile(file)
//	route, ok := table.Match(r)
//
// Process a submission, and update another copy with a diff:
//
//	decision := rule.Accept(now, accepted, submission)
//	change := rule.Diff(accepted.File, decision.Next.File)
//	next, result := change.Apply(other)
//
// Prepare a newer version of the rules of a directory, or the change of a peer, at a cost that
// depends on what has changed. The GiveWay may wait, so that others use the processor:
//
//	revision, result := table.ReviseText(text, giveWay)
//	revision, result = table.ReviseChange(change, giveWay)
//
// # The rules file
//
// The file is UTF-8 text with one rule per line. A rule is a list of Name=Value
// fields followed by a comment that names who requested it and why:
//
//	# Generation 41
//	Path=/rosters Service=Booking Deadline=2s # Mei Lin: members browse rosters
//	Path=/videos/* Service=Library # Tan: induction videos
//
// A line with Evacuate alone, such as
//
//	Evacuate=zone-b # Ana: power work until noon
//
// asks that nothing be sent to the endpoint servers of an availability zone.
//
// The first line states the generation that the operator edited. Lines that
// start with # are comments. Comments, empty lines and the order of lines are
// preserved. A rule is identified by its Host, Path and Method.
//
// # Customers
//
// A line with a Customer declares a customer, and holds digests of its keys as DigestKey
// returns them, its priority and its quota; lines with a Part hold further keys. If a file
// declares customers, requests need a key, except on rules with Anonymous=Yes:
//
//	Customer=Yarns Keys=arnx6499M4j0-dWG9m6Z_Q Priority=1 Rate=20 Burst=40 # Tan: partner
//	Customer=Yarns Part=2 Keys=AV9-a8Wur0g3JAieklLMEw # Tan: more keys
//	Path=/status Service=Booking Anonymous=Yes # Tan: open to anyone
//
// A key that two customers hold identifies neither.
//
// # Precedence
//
// The most specific matching rule wins; the order of lines is irrelevant. A rule
// with a Host takes precedence over one without. Paths are then compared segment
// by segment: a literal segment precedes {Name}, which matches exactly one
// segment, and {Name} precedes a final *, which matches any remainder. Finally, a
// rule with a Method precedes one without; GET also matches HEAD unless a rule
// states HEAD. Table.Explain lists the rules considered, in this order.
package rule
