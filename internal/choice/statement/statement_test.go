package statement_test

import (
	"net/http"
	"testing"

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
	h := http.Header{statement.LimitHeader: {"3"}}
	if got, err := statement.Parse(&mustardsaddle.Headers{}, h); got != (mustardsaddle.Statement{}) || err != nil {
		t.Errorf("no name configured: got %+v and error %v, want no statement", got, err)
	}
}
