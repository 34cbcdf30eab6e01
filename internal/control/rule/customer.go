package rule

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"math"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

const (
	// MaxKeyBytes is the maximum length of a customer's key.
	MaxKeyBytes = 64 << 10
	// MaxKeysInLine is the number of keys that fit in one line beside the other fields.
	MaxKeysInLine = 128
	// firstPart and maxPart are the limits of Part. The line that declares the customer is
	// the first.
	firstPart = 2
	maxPart   = 10000
	// MaxRate is the upper limit of Rate and Burst.
	MaxRate = 1e9
)

// KeyDigest identifies a key of a customer without containing it: the first 128 bits of
// the SHA-256 of the key.
type KeyDigest [16]byte

// DigestKey returns the digest of a key. It returns false if the text can be no key: one is
// the value of a header, of up to MaxKeyBytes bytes.
func DigestKey(key string) (KeyDigest, bool) {
	if len(key) > MaxKeyBytes || !isHeaderValue(key) {
		return KeyDigest{}, false
	}
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:len(KeyDigest{})]), true
}

// String returns the digest as it is written in Keys, in unpadded base64url.
func (d KeyDigest) String() string {
	return base64.RawURLEncoding.EncodeToString(d[:])
}

// parseKeyDigest parses a digest in hexadecimal or in unpadded base64url.
func parseKeyDigest(text string) (KeyDigest, bool) {
	var d KeyDigest
	decode := base64.RawURLEncoding.Strict().DecodeString
	if len(text) == hex.EncodedLen(len(d)) {
		decode = hex.DecodeString
	}
	b, err := decode(text)
	if err != nil || len(b) != len(d) {
		return KeyDigest{}, false
	}
	return KeyDigest(b), true
}

// IsCustomer reports whether the rule declares a customer, or holds further keys of one.
func (r Rule) IsCustomer() bool {
	return r.Customer != ""
}

// KeyDigests returns the digests of the keys that the line of a customer holds.
func (r Rule) KeyDigests() []KeyDigest {
	if r.Keys == "" {
		return nil
	}
	var digests []KeyDigest
	for text := range strings.SplitSeq(r.Keys, ",") {
		if d, ok := parseKeyDigest(text); ok {
			digests = append(digests, d)
		}
	}
	return digests
}

// customer returns the customer that the rule declares.
func (r Rule) customer() *mustardsaddle.Customer {
	return &mustardsaddle.Customer{
		Name: r.Customer, Priority: r.Priority, PrioritySet: r.PrioritySet, Rate: r.Rate, Burst: r.Burst,
	}
}

// isHeaderValue reports whether a header can have the text as its value, unchanged by those
// that read it.
func isHeaderValue(text string) bool {
	return text != "" && strings.Trim(text, " \t") == text && httpguts.ValidHeaderFieldValue(text)
}

func (f format) setCustomer(r *Rule, value string) Problem {
	r.Customer = value
	if f.directory {
		name, ok := decodeName(value)
		if !ok || !isHeaderValue(name) || len(name) > f.maxNameBytes {
			return problemf(code.RuleBadValue, "got Customer of %d bytes, want an encoded name that a header can have, of 1 to %d bytes", len(name), f.maxNameBytes)
		}
		r.Customer = name
		return Problem{}
	}
	for _, c := range value {
		if !isNameRune(c) && c != '-' && c != '.' {
			return problemf(code.RuleBadValue, "got Customer=%s, want letters, digits, -, . and _", value)
		}
	}
	if value == "" || len(value) > f.maxNameBytes {
		return problemf(code.RuleBadValue, "got Customer of %d bytes, want a name of 1 to %d bytes", len(value), f.maxNameBytes)
	}
	return Problem{}
}

func setKeys(r *Rule, value string) Problem {
	r.Keys = value
	seen := make(map[KeyDigest]bool)
	for text := range strings.SplitSeq(value, ",") {
		d, ok := parseKeyDigest(text)
		if !ok {
			// The text is not repeated, since it may be a key.
			return problemf(code.RuleBadValue, "got Keys with a text of %d bytes, want digests as printed by mustardsaddle key, separated by commas", len(text))
		}
		if seen[d] {
			return problemf(code.RuleRepeatedField, "duplicate digest %s in Keys", text)
		}
		seen[d] = true
	}
	return Problem{}
}

func setRate(field *float64, name, value string) Problem {
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(n) || n <= 0 || n > MaxRate {
		return problemf(code.RuleBadValue, "got %s=%s, want a decimal number above 0, up to %g", name, value, float64(MaxRate))
	}
	*field = n
	return Problem{}
}

func setAnonymous(r *Rule, value string) Problem {
	if value != anonymousYes {
		return problemf(code.RuleBadValue, "got Anonymous=%s, want %s", value, anonymousYes)
	}
	r.Anonymous = true
	return Problem{}
}

// anonymousYes is the only value of Anonymous.
const anonymousYes = "Yes"

// Fields of lines about customers, besides Customer.
var (
	customerFields = []string{"Part", "Keys", "Rate", "Burst"} //nolint:gochecknoglobals // a table
	quotaFields    = []string{"Priority", "Rate", "Burst"}     //nolint:gochecknoglobals // a table
)

// notInCustomer returns the fields that a line about a customer does not allow.
func notInCustomer() []string {
	others := slices.Concat([]string{"Path", "Service", idleField}, routeFields, serviceFields)
	return slices.DeleteFunc(others, func(name string) bool { return slices.Contains(quotaFields, name) })
}

// checkCustomerFields returns problems for the fields that a line about a customer lacks or
// does not allow. A line with a Part holds further keys of a customer and nothing else.
func checkCustomerFields(seen *fieldNames) []Problem {
	problems := disallow(seen, notInCustomer(), "declares a customer")
	if seen.has("Burst") && !seen.has("Rate") {
		problems = append(problems, problemf(code.RuleMissingField, "customer has a Burst but no Rate"))
	}
	if !seen.has("Part") {
		return problems
	}
	if !seen.has("Keys") {
		problems = append(problems, problemf(code.RuleMissingField, "further part of a customer has no Keys"))
	}
	return append(problems, disallow(seen, quotaFields, "holds further keys of a customer")...)
}
