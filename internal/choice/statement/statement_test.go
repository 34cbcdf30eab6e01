package statement_test

import (
	"net/http"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/choice/statement"
)

func TestParse(t *testing.T) {
	limit := func(perSecond float64) mustardsaddle.Statement {
		return mustardsaddle.Statement{}.WithLimit(perSecond)
	}
	cases := []struct {
		name, value string
		want        mustardsaddle.Statement
		code        code.Code
	}{
		{"no header", "", mustardsaddle.Statement{}, code.OK},
		{"whole number", "3", limit(3), code.OK},
		{"fraction", "1.25", limit(1.25), code.OK},
		{"zero", "0", limit(0), code.OK},
		{"largest", "1000000", limit(1e6), code.OK},
		{"too large", "1000001", mustardsaddle.Statement{}, code.StatementBad},
		{"negative", "-1", mustardsaddle.Statement{}, code.StatementBad},
		{"infinite", "Inf", mustardsaddle.Statement{}, code.StatementBad},
		{"not a number", "NaN", mustardsaddle.Statement{}, code.StatementBad},
		{"text", "none", mustardsaddle.Statement{}, code.StatementBad},
		{"list", "1, 2", mustardsaddle.Statement{}, code.StatementBad},
	}
	names := &mustardsaddle.Headers{Limit: statement.LimitHeader}
	for _, c := range cases {
		h := http.Header{}
		if c.value != "" {
			h.Set(statement.LimitHeader, c.value)
		}
		got, err := statement.Parse(names, h)
		if got != c.want || code.Of(err) != c.code {
			t.Errorf("%s: got %+v and error %v, want %+v and code %v", c.name, got, err, c.want, c.code)
		}
	}
	names.Leaving = statement.LeavingHeader
	for _, c := range []struct {
		leaving, limit string
		want           mustardsaddle.Statement
		code           code.Code
	}{
		{"1", "", mustardsaddle.Statement{Leaving: true}, code.OK},
		{"0", "3", limit(3), code.OK},
		{"1", "3", limit(3).WithLeaving(true), code.OK},
		{"soon", "3", limit(3), code.StatementBad},
		{"1", "many", mustardsaddle.Statement{Leaving: true}, code.StatementBad},
	} {
		h := http.Header{statement.LeavingHeader: {c.leaving}, statement.LimitHeader: {c.limit}}
		got, err := statement.Parse(names, h)
		if got != c.want || code.Of(err) != c.code {
			t.Errorf("leaving %q, limit %q: got %+v and error %v, want %+v and code %v", c.leaving, c.limit, got, err, c.want, c.code)
		}
	}
	h := http.Header{statement.LimitHeader: {"3"}}
	if got, err := statement.Parse(&mustardsaddle.Headers{}, h); got != (mustardsaddle.Statement{}) || err != nil {
		t.Errorf("no name configured: got %+v and error %v, want no statement", got, err)
	}
}

func TestParsePause(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	cases := []struct {
		name   string
		status int
		value  string
		want   time.Duration
		code   code.Code
	}{
		{"no header", 503, "", 0, code.OK},
		{"whole seconds", 503, "3", 3 * time.Second, code.OK},
		{"fraction", 503, "0.25", 250 * time.Millisecond, code.OK},
		{"zero", 503, "0", 0, code.OK},
		{"another status", 429, "3", 0, code.OK},
		{"date", 503, "Fri, 04 Dec 2026 08:00:07 GMT", 7 * time.Second, code.OK},
		{"date in the past", 503, "Fri, 04 Dec 2026 07:59:00 GMT", 0, code.OK},
		{"distant date", 503, "Sat, 04 Dec 2027 08:00:00 GMT", statement.MaxPause, code.OK},
		{"too long", 503, "1e300", statement.MaxPause, code.OK},
		{"infinite", 503, "Inf", statement.MaxPause, code.OK},
		{"negative", 503, "-1", 0, code.StatementBad},
		{"not a number", 503, "NaN", 0, code.StatementBad},
		{"text", 503, "soon", 0, code.StatementBad},
	}
	for _, c := range cases {
		h := http.Header{}
		if c.value != "" {
			h.Set("Retry-After", c.value)
		}
		got, err := statement.ParsePause(now, c.status, h)
		if got != c.want || code.Of(err) != c.code {
			t.Errorf("%s: got %s and error %v, want %s and code %v", c.name, got, err, c.want, c.code)
		}
	}
}
