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

// formatNumber is the newest format of the objects that this program reads.
const formatNumber = 1

const kindAccepted, kindInForce = "Accepted", "InForce"

// isHeader reports whether a line belongs to the header of an object of ours.
// Such a line is never kept among the rules, so that it can't be taken for a
// header when the lines above it go.
func isHeader(s string) bool {
	if strings.HasPrefix(s, generationPrefix) || isFormat(s) {
		return true
	}
	ok, err := new(header).take(s)
	return ok && err == nil
}

func isFormat(s string) bool {
	for _, kind := range []string{kindAccepted, kindInForce} {
		if _, ok := parseNumber(strings.TrimPrefix(s, formatPrefix+kind+" ")); ok {
			return true
		}
	}
	return false
}

// header is the part of an object above the rules.
type header struct {
	submission int64
	at         time.Time
	vms        []VM
	refusals   []Refusal
}

// parseObject reads an object of ours. The error has code.StoreTooLarge,
// code.StoreNewerFormat, or code.StoreBadObject for all else.
func parseObject(kind, text string) (header, File, error) {
	if len(text) > MaxFileBytes {
		return header{}, File{}, code.Errorf(code.StoreTooLarge, "read %s: got %d bytes, want at most %d", kind, len(text), MaxFileBytes)
	}
	if err := checkFormat(kind, text); err != nil {
		return header{}, File{}, err
	}
	var h header
	for s := range strings.Lines(text) {
		s = strings.TrimSpace(s)
		if !isHeader(s) {
			break
		}
		_, _ = h.take(s)
	}
	file, problems := Parse(text)
	if len(problems) > 0 {
		return header{}, File{}, code.Errorf(code.StoreBadObject, "read %s: %s", kind, problems[0])
	}
	if !file.HasGeneration {
		return header{}, File{}, code.Errorf(code.StoreBadObject, "read %s: no Generation line", kind)
	}
	return h, file, nil
}

// checkFormat checks the first line, which states the kind and the format.
func checkFormat(kind, text string) error {
	first, _, _ := strings.Cut(text, "\n")
	rest, ok := strings.CutPrefix(strings.TrimRight(first, "\r"), formatPrefix+kind+" ")
	n, valid := parseNumber(rest)
	if !ok || !valid {
		return code.Errorf(code.StoreBadObject, "read %s: got first line %.80q, want %q", kind, first, formatLine(kind))
	}
	if n > formatNumber {
		return code.Errorf(code.StoreNewerFormat, "read %s: got format %d, want at most %d", kind, n, formatNumber)
	}
	return nil
}

func formatLine(kind string) string {
	return formatPrefix + kind + " " + strconv.Itoa(formatNumber)
}

// take reads one header line. It returns false for a line of another kind.
func (h *header) take(s string) (bool, error) {
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
