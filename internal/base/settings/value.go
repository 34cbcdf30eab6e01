package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxNameBytes bounds names, which travel in messages and log lines.
const maxNameBytes = 64

// required returns the setting without a default.
func required[T any](s setting[T], example string) setting[T] {
	s.Required = true
	s.Default = ""
	s.Example = example
	return s
}

// text is a setting whose value passes a check.
func text[T any](info Info, ok func(string) bool, field func(*T) *string) setting[T] {
	info.Example = info.Default
	return setting[T]{Info: info, set: func(t *T, value string) bool {
		if !ok(value) {
			return false
		}
		*field(t) = value
		return true
	}}
}

// name is a setting that holds a short name.
func name[T any](section, key, def, meaning string, field func(*T) *string) setting[T] {
	want := fmt.Sprintf("1 to %d letters, digits, - or _", maxNameBytes)
	return text(Info{Section: section, Key: key, Default: def, Want: want, Meaning: meaning}, isName, field)
}

func isName(value string) bool {
	return value != "" && len(value) <= maxNameBytes && strings.IndexFunc(value, notInName) < 0
}

func notInName(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	digit := r >= '0' && r <= '9'
	return !letter && !digit && r != '-' && r != '_'
}

// headerName is a setting that holds the name of an HTTP header, or nothing.
func headerName[T any](section, key, def, meaning string, field func(*T) *string) setting[T] {
	want := fmt.Sprintf("a header name of up to %d letters, digits, - or _, or nothing", maxNameBytes)
	ok := func(value string) bool { return value == "" || isName(value) }
	return text(Info{Section: section, Key: key, Default: def, Want: want, Meaning: meaning}, ok, field)
}

// address is a setting that holds an IP number and a port.
func address[T any](section, key, def, meaning string, field func(*T) *string) setting[T] {
	ok := func(value string) bool {
		_, err := netip.ParseAddrPort(value)
		return err == nil
	}
	want := "an IP number and port such as 10.0.0.7:8080; port 0 takes a free one"
	return text(Info{Section: section, Key: key, Default: def, Want: want, Meaning: meaning}, ok, field)
}

// optionalAddress is a setting that holds an address of this VM, or none.
func optionalAddress[T any](section, key, meaning string, field func(*T) *string) setting[T] {
	ok := func(value string) bool {
		_, err := netip.ParseAddrPort(value)
		return value == "" || err == nil
	}
	want := "an IP number and port such as 10.0.0.7:8080, or nothing"
	return text(Info{Section: section, Key: key, Want: want, Meaning: meaning}, ok, field)
}

// ownAddress is a setting that holds an address by which others reach this VM.
func ownAddress[T any](section, key, meaning string, field func(*T) *string) setting[T] {
	ok := func(value string) bool {
		a, err := netip.ParseAddrPort(value)
		return err == nil && !a.Addr().IsUnspecified()
	}
	want := "an IP number of this VM and a port such as 10.0.0.7:8082, not 0.0.0.0"
	return text(Info{Section: section, Key: key, Want: want, Meaning: meaning}, ok, field)
}

// addresses is a setting that holds addresses of other VMs, or none.
func addresses[T any](section, key, meaning string, field func(*T) *[]string) setting[T] {
	info := Info{Section: section, Key: key, Want: "IP numbers and ports such as 10.0.0.7:8082, separated by commas, or nothing", Meaning: meaning}
	return setting[T]{Info: info, set: func(t *T, value string) bool {
		var list []string
		for part := range strings.SplitSeq(value, ",") {
			part = strings.TrimSpace(part)
			if part == "" {
				continue
			}
			a, err := netip.ParseAddrPort(part)
			if err != nil || a.Addr().IsUnspecified() {
				return false
			}
			list = append(list, part)
		}
		*field(t) = list
		return true
	}}
}

// httpURL is a setting that holds the address of an HTTP service.
func httpURL[T any](section, key, meaning string, field func(*T) *string) setting[T] {
	want := "an http or https URL such as http://10.0.0.1:7000, without a query or final slash"
	return text(Info{Section: section, Key: key, Want: want, Meaning: meaning}, isBaseURL, field)
}

func isBaseURL(value string) bool {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		return false
	}
	bare := u.RawQuery == "" && u.Fragment == "" && u.User == nil && !u.ForceQuery
	return u.Hostname() != "" && bare && !strings.HasSuffix(u.Path, "/")
}

// urlPath is a setting that holds the path of a URL.
func urlPath[T any](section, key, def, meaning string, field func(*T) *string) setting[T] {
	ok := func(value string) bool {
		u, err := url.ParseRequestURI(value)
		return err == nil && strings.HasPrefix(value, "/") && u.Path == value
	}
	return text(Info{Section: section, Key: key, Default: def, Want: "a path such as /load", Meaning: meaning}, ok, field)
}

// oneOf is a setting that holds one of the given values.
func oneOf[T any](section, key, def string, values []string, meaning string, field func(*T) *string) setting[T] {
	ok := func(value string) bool { return slices.Contains(values, value) }
	want := strings.Join(values, ", ")
	if len(values) > 1 {
		want = "one of " + want
	}
	return text(Info{Section: section, Key: key, Default: def, Want: want, Meaning: meaning}, ok, field)
}

// duration is a setting that holds a time with its unit.
func duration[T any](section, key, def string, lo, hi time.Duration, meaning string, field func(*T) *time.Duration) setting[T] {
	want := fmt.Sprintf("a time from %s to %s", short(lo), short(hi))
	info := Info{Section: section, Key: key, Default: def, Example: def, Want: want, Meaning: meaning}
	return setting[T]{Info: info, set: func(t *T, value string) bool {
		d, err := time.ParseDuration(value)
		if err != nil || d < lo || d > hi {
			return false
		}
		*field(t) = d
		return true
	}}
}

// short formats a duration without units that are zero.
func short(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// integer is a setting that holds a whole number.
func integer[T any, N int | int64](section, key, def string, lo, hi int64, unit, meaning string, field func(*T) *N) setting[T] {
	want := fmt.Sprintf("a whole number from %d to %d (%s)", lo, hi, unit)
	info := Info{Section: section, Key: key, Default: def, Example: def, Want: want, Meaning: meaning}
	return setting[T]{Info: info, set: func(t *T, value string) bool {
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < lo || n > hi {
			return false
		}
		*field(t) = N(n)
		return true
	}}
}

// number is a setting that holds a number, whole or not.
func number[T any](section, key, def string, lo, hi float64, unit, meaning string, field func(*T) *float64) setting[T] {
	want := fmt.Sprintf("a number from %s to %s (%s)", decimal(lo), decimal(hi), unit)
	info := Info{Section: section, Key: key, Default: def, Example: def, Want: want, Meaning: meaning}
	return setting[T]{Info: info, set: func(t *T, value string) bool {
		n, err := strconv.ParseFloat(value, 64)
		inRange := n >= lo && n <= hi // false for NaN
		if err != nil || !inRange {
			return false
		}
		*field(t) = n
		return true
	}}
}

func decimal(n float64) string {
	return strconv.FormatFloat(n, 'f', -1, 64)
}

// notRunStatus is a setting that holds the status of a refusal, or 0.
func notRunStatus(key, meaning string, field func(*Service) *int) setting[Service] {
	const lo, hi = 400, 599
	s := integer(sectionService, key, "0", 0, hi, "", meaning, field)
	s.Want = fmt.Sprintf("an HTTP status from %d to %d, or 0 for none", lo, hi)
	inRange := s.set
	s.set = func(v *Service, value string) bool {
		n, err := strconv.Atoi(value)
		refusal := n == 0 || n >= lo
		return err == nil && refusal && inRange(v, value)
	}
	return s
}
