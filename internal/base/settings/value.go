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

// maxNameBytes is the maximum length of names, which are sent in messages and written
// to log lines.
const maxNameBytes = 64

// required returns s as a required setting, which has no default.
func required[T any](s setting[T], example string) setting[T] {
	s.Required = true
	s.Default = ""
	s.Example = example
	return s
}

// text returns a string setting whose values must satisfy ok.
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

// name returns a setting that holds a short name.
func name[T any](section, key, def, description string, field func(*T) *string) setting[T] {
	want := fmt.Sprintf("1 to %d letters, digits, - or _", maxNameBytes)
	return text(Info{Section: section, Key: key, Default: def, Accepts: want, Description: description}, isName, field)
}

func isName(value string) bool {
	return value != "" && len(value) <= maxNameBytes && strings.IndexFunc(value, isInvalidInName) < 0
}

func isInvalidInName(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	digit := r >= '0' && r <= '9'
	return !letter && !digit && r != '-' && r != '_'
}

// headerName returns a setting that holds the name of an HTTP header, or nothing.
func headerName[T any](section, key, def, description string, field func(*T) *string) setting[T] {
	want := fmt.Sprintf("a header name of up to %d letters, digits, - or _, or nothing", maxNameBytes)
	ok := func(value string) bool { return value == "" || isName(value) }
	return text(Info{Section: section, Key: key, Default: def, Accepts: want, Description: description}, ok, field)
}

// address returns a setting that holds an IP address and a port.
func address[T any](section, key, def, description string, field func(*T) *string) setting[T] {
	ok := func(value string) bool {
		_, err := netip.ParseAddrPort(value)
		return err == nil
	}
	want := "an IP address and port such as 10.0.0.7:8080; port 0 selects a free one"
	return text(Info{Section: section, Key: key, Default: def, Accepts: want, Description: description}, ok, field)
}

// optionalAddress returns a setting that holds an IP address and a port, or nothing.
func optionalAddress[T any](section, key, description string, field func(*T) *string) setting[T] {
	ok := func(value string) bool {
		_, err := netip.ParseAddrPort(value)
		return value == "" || err == nil
	}
	want := "an IP address and port such as 10.0.0.7:8080, or nothing"
	return text(Info{Section: section, Key: key, Accepts: want, Description: description}, ok, field)
}

// advertisedAddress returns a setting that holds an address at which other VMs reach
// this one, which excludes the unspecified address.
func advertisedAddress[T any](section, key, description string, field func(*T) *string) setting[T] {
	ok := func(value string) bool {
		a, err := netip.ParseAddrPort(value)
		return err == nil && !a.Addr().IsUnspecified()
	}
	want := "an IP address of this VM and a port such as 10.0.0.7:8082, not 0.0.0.0"
	return text(Info{Section: section, Key: key, Accepts: want, Description: description}, ok, field)
}

// addresses returns a setting that holds addresses of other VMs, or nothing.
func addresses[T any](section, key, description string, field func(*T) *[]string) setting[T] {
	info := Info{Section: section, Key: key, Accepts: "IP addresses and ports such as 10.0.0.7:8082, separated by commas, or nothing", Description: description}
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

// httpURL returns a setting that holds the base URL of an HTTP service.
func httpURL[T any](section, key, description string, field func(*T) *string) setting[T] {
	want := "an http or https URL such as http://10.0.0.1:7000, without a query or final slash"
	return text(Info{Section: section, Key: key, Accepts: want, Description: description}, isBaseURL, field)
}

func isBaseURL(value string) bool {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		return false
	}
	bare := u.RawQuery == "" && u.Fragment == "" && u.User == nil && !u.ForceQuery
	return u.Hostname() != "" && bare && !strings.HasSuffix(u.Path, "/")
}

// urlPath returns a setting that holds the path of a URL.
func urlPath[T any](section, key, def, description string, field func(*T) *string) setting[T] {
	ok := func(value string) bool {
		u, err := url.ParseRequestURI(value)
		return err == nil && strings.HasPrefix(value, "/") && u.Path == value
	}
	return text(Info{Section: section, Key: key, Default: def, Accepts: "a path such as /load", Description: description}, ok, field)
}

// oneOf returns a setting that holds one of the given values.
func oneOf[T any](section, key, def string, values []string, description string, field func(*T) *string) setting[T] {
	ok := func(value string) bool { return slices.Contains(values, value) }
	want := strings.Join(values, ", ")
	if len(values) > 1 {
		want = "one of " + want
	}
	return text(Info{Section: section, Key: key, Default: def, Accepts: want, Description: description}, ok, field)
}

// flag returns a setting that is Yes or No.
func flag[T any](section, key, def, description string, field func(*T) *bool) setting[T] {
	info := Info{Section: section, Key: key, Default: def, Example: def, Accepts: "one of " + flagYes + ", " + flagNo, Description: description}
	return setting[T]{Info: info, set: func(t *T, value string) bool {
		*field(t) = value == flagYes
		return value == flagYes || value == flagNo
	}}
}

// Values of a flag.
const (
	flagYes = "Yes"
	flagNo  = "No"
)

// duration returns a setting that holds a duration with its unit, from lo to hi.
func duration[T any](section, key, def string, lo, hi time.Duration, description string, field func(*T) *time.Duration) setting[T] {
	want := fmt.Sprintf("a duration from %s to %s", shortDuration(lo), shortDuration(hi))
	info := Info{Section: section, Key: key, Default: def, Example: def, Accepts: want, Description: description}
	return setting[T]{Info: info, set: func(t *T, value string) bool {
		d, err := time.ParseDuration(value)
		if err != nil || d < lo || d > hi {
			return false
		}
		*field(t) = d
		return true
	}}
}

// shortDuration formats a duration without trailing units that are zero.
func shortDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// integer returns a setting that holds a whole number from lo to hi.
func integer[T any, N int | int64](section, key, def string, lo, hi int64, unit, description string, field func(*T) *N) setting[T] {
	want := fmt.Sprintf("a whole number from %d to %d (%s)", lo, hi, unit)
	info := Info{Section: section, Key: key, Default: def, Example: def, Accepts: want, Description: description}
	return setting[T]{Info: info, set: func(t *T, value string) bool {
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < lo || n > hi {
			return false
		}
		*field(t) = N(n)
		return true
	}}
}

// number returns a setting that holds a decimal number from lo to hi.
func number[T any](section, key, def string, lo, hi float64, unit, description string, field func(*T) *float64) setting[T] {
	want := fmt.Sprintf("a number from %s to %s (%s)", decimal(lo), decimal(hi), unit)
	info := Info{Section: section, Key: key, Default: def, Example: def, Accepts: want, Description: description}
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

// notRunStatus returns a setting that holds the HTTP status of a refusal, or 0.
func notRunStatus(key, description string, field func(*Service) *int) setting[Service] {
	const lo, hi = 400, 599
	s := integer(sectionService, key, "0", 0, hi, "", description, field)
	s.Accepts = fmt.Sprintf("an HTTP status from %d to %d, or 0 for none", lo, hi)
	setInRange := s.set
	s.set = func(v *Service, value string) bool {
		n, err := strconv.Atoi(value)
		refusal := n == 0 || n >= lo
		return err == nil && refusal && setInRange(v, value)
	}
	return s
}
