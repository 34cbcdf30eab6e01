package rule

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// Prefixes of the header lines of Rules/Accepted and Rules/InForce.
const (
	formatPrefix     = "# Format "
	generationPrefix = "# Generation "
	submissionPrefix = "# Submission "
	timePrefix       = "# Time "
	vmPrefix         = "# VM Name="
	codePrefix       = "# Code "
)

// formatVersion is the newest format version of the stored objects that this
// program can read, and the one that it writes.
const formatVersion = 1

const kindAccepted, kindInForce = "Accepted", "InForce"

// isHeaderLine reports whether a line belongs to the header of a stored object.
// Such a line is never kept among the rules, where it could be parsed as part of
// the header once the lines above it are removed.
func isHeaderLine(s string) bool {
	if s != "" && 'A' <= s[0] && s[0] <= 'Z' {
		return false // a field
	}
	if strings.HasPrefix(s, generationPrefix) || isFormatLine(s) {
		return true
	}
	ok, err := new(header).parseLine(s)
	return ok && err == nil
}

func isFormatLine(s string) bool {
	for _, kind := range []string{kindAccepted, kindInForce} {
		if _, ok := parseNumber(strings.TrimPrefix(s, formatPrefix+kind+" ")); ok {
			return true
		}
	}
	return false
}

// header holds the metadata that precedes the rules in a stored object.
type header struct {
	submission int64
	at         time.Time
	vms        []VM
	refusals   []Refusal
}

// parseObject parses a stored object. Its errors have the code
// code.StoreTooLarge, code.StoreNewerFormat, or code.StoreBadObject for any other
// failure.
func parseObject(kind, text string) (header, File, error) {
	if len(text) > MaxFileBytes {
		return header{}, File{}, code.Errorf(code.StoreTooLarge, "parse %s: got %d bytes, want at most %d", kind, len(text), MaxFileBytes)
	}
	if err := checkFormat(kind, text); err != nil {
		return header{}, File{}, err
	}
	var h header
	for s := range strings.Lines(text) {
		s = strings.TrimSpace(s)
		if !isHeaderLine(s) {
			break
		}
		_, _ = h.parseLine(s)
	}
	file, problems := Parse(text)
	if len(problems) > 0 {
		return header{}, File{}, code.Errorf(code.StoreBadObject, "parse %s: %s", kind, problems[0])
	}
	if !file.HasGeneration {
		return header{}, File{}, code.Errorf(code.StoreBadObject, "parse %s: missing Generation line", kind)
	}
	return h, file, nil
}

// checkFormat checks the first line, which states the kind of the object and its
// format version.
func checkFormat(kind, text string) error {
	first, _, _ := strings.Cut(text, "\n")
	rest, ok := strings.CutPrefix(strings.TrimRight(first, "\r"), formatPrefix+kind+" ")
	n, valid := parseNumber(rest)
	if !ok || !valid {
		return code.Errorf(code.StoreBadObject, "parse %s: got first line %.80q, want %q", kind, first, formatLine(kind))
	}
	if n > formatVersion {
		return code.Errorf(code.StoreNewerFormat, "parse %s: got format version %d, want at most %d", kind, n, formatVersion)
	}
	return nil
}

func formatLine(kind string) string {
	return formatPrefix + kind + " " + strconv.Itoa(formatVersion)
}

// parseLine parses one header line into h. It returns false if s is not a header
// line.
func (h *header) parseLine(s string) (bool, error) {
	if text, ok := strings.CutPrefix(s, submissionPrefix); ok {
		n, err := strconv.ParseInt(text, 10, 64)
		h.submission = n
		return true, err
	}
	if text, ok := strings.CutPrefix(s, timePrefix); ok {
		at, err := time.Parse(time.RFC3339Nano, text)
		h.at = at
		return true, err
	}
	if strings.HasPrefix(s, vmPrefix) {
		vm, err := parseVM(s)
		h.vms = append(h.vms, vm)
		return true, err
	}
	refusal, ok := parseRefusal(s)
	if ok {
		h.refusals = append(h.refusals, refusal)
	}
	return ok, nil
}

func (h header) write(b *strings.Builder, kind string, generation int64) {
	fmt.Fprintf(b, "%s\n%s%d\n%s%d\n", formatLine(kind), generationPrefix, generation, submissionPrefix, h.submission)
	if !h.at.IsZero() {
		b.WriteString(timePrefix + h.at.UTC().Format(time.RFC3339Nano) + "\n")
	}
	for _, vm := range h.vms {
		b.WriteString(vm.String() + "\n")
	}
	for _, r := range h.refusals {
		b.WriteString(r.String() + "\n")
	}
}

// String returns the refusal as a header line.
func (r Refusal) String() string {
	return fmt.Sprintf("%s%d Line %d Submission %d %s", codePrefix, int(r.Problem.Code), r.Problem.Line, r.Submission, r.Problem.Text)
}

func parseRefusal(s string) (Refusal, bool) {
	rest, ok := strings.CutPrefix(s, codePrefix)
	parts := strings.SplitN(rest, " ", 6)
	if !ok || len(parts) != 6 || parts[1] != "Line" || parts[3] != "Submission" {
		return Refusal{}, false
	}
	c, ok1 := parseNumber(parts[0])
	n, ok2 := parseNumber(parts[2])
	submission, ok3 := parseNumber(parts[4])
	r := Refusal{Submission: submission, Problem: Problem{Code: code.Code(c), Line: int(n), Text: parts[5]}}
	return r, ok1 && ok2 && ok3
}
