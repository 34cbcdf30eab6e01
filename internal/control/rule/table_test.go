package rule_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

func TestMatch(t *testing.T) {
	table := rule.Compile(fileOf(1,
		"Path=/* Service=Any # Tan: rest",
		"Path=/videos/* Service=Videos # Tan: all videos",
		"Path=/videos/{Name} Service=Video # Tan: one video",
		"Path=/videos/new Service=New # Tan: the newest",
		"Path=/videos/new Method=POST Service=Upload # Tan: upload",
		"Path=/{Shed}/rosters Service=Rosters # Tan: rosters",
		"Host=Bureau.example Path=/* Service=Bureau # Tan: bureau",
		"Path=/jobs Method=GET Service=Jobs # Tan: read jobs",
		"Path=/jobs Method=POST Service=Orders # Tan: order",
		"Path=/名冊 Service=Unicode # 陳：名冊",
	))
	for _, test := range []struct{ method, url, want string }{
		{"GET", "http://a/", "Any"},
		{"GET", "http://a/videos", "Any"},
		{"GET", "http://a/videos/", "Videos"},
		{"GET", "http://a/videos/1", "Video"},
		{"GET", "http://a/videos/1/2", "Videos"},
		{"GET", "http://a/videos/new", "New"},
		{"POST", "http://a/videos/new", "Upload"},
		{"GET", "http://a/perth/rosters", "Rosters"},
		{"GET", "http://BUREAU.example:8080/videos/new", "Bureau"},
		{"GET", "http://a/jobs", "Jobs"},
		{"HEAD", "http://a/jobs", "Jobs"},
		{"POST", "http://a/jobs", "Orders"},
		{"PUT", "http://a/jobs", "Any"},
		{"GET", "http://a/%E5%90%8D%E5%86%8A", "Unicode"},
		{"GET", "http://a/videos/../jobs", ""},
		{"GET", "http://a/videos/%2e%2e/jobs", ""},
		{"GET", "http://a/videos/...", "Video"},
	} {
		convey.Convey("Given the request "+test.method+" "+test.url, t, func() {
			r := httptest.NewRequest(test.method, test.url, nil)
			found, ok := table.Match(r)
			convey.So(found.Service, convey.ShouldEqual, test.want)
			convey.So(ok, convey.ShouldEqual, test.want != "")
			convey.Convey("Explain marks the same rule as chosen", func() {
				candidates := table.Explain(r)
				chosen := ""
				for _, candidate := range candidates {
					if candidate.Verdict == rule.Chosen {
						chosen += candidate.Rule.Service
					}
				}
				convey.So(chosen, convey.ShouldEqual, test.want)
			})
		})
	}
}

func TestExplainReportsLinesAndVerdicts(t *testing.T) {
	convey.Convey("Given three rules that overlap on a path", t, func() {
		table := rule.Compile(fileOf(1, "Path=/a/* Service=Rest # Tan: x", "# comment", "Path=/a/b Method=POST Service=Post # Tan: x", "Path=/a/b Service=Exact # Tan: x"))
		candidates := table.Explain(httptest.NewRequest(http.MethodGet, "http://h/a/b", nil))
		convey.So(len(candidates), convey.ShouldEqual, 3)
		convey.So(candidates[0].Line, convey.ShouldEqual, 4)
		convey.So(candidates[0].Verdict, convey.ShouldEqual, rule.OtherMethod)
		convey.So(candidates[1].Line, convey.ShouldEqual, 5)
		convey.So(candidates[1].Verdict, convey.ShouldEqual, rule.Chosen)
		convey.So(candidates[2].Line, convey.ShouldEqual, 2)
		convey.So(candidates[2].Verdict, convey.ShouldEqual, rule.LessSpecific)
	})
}

// matches reports whether a rule matches, independently of the router.
func matches(r rule.Rule, host, method, path string) bool {
	if r.Host != "" && r.Host != host {
		return false
	}
	if r.Method != "" && r.Method != method && (r.Method != "GET" || method != "HEAD") {
		return false
	}
	want, got := strings.Split(r.Path, "/"), strings.Split(path, "/")
	for i, segment := range want {
		switch {
		case segment == "*":
			return len(got) > i
		case i >= len(got):
			return false
		case strings.HasPrefix(segment, "{") && got[i] != "":
		case segment != got[i]:
			return false
		}
	}
	return len(want) == len(got)
}

// TestMatchProperty compares Match with a separate implementation of the matching, and
// checks that the result depends neither on the order of the lines nor on the table
// that was recompiled.
func TestMatchProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		file := genFile(t, 1)
		lines := strings.Split(strings.TrimSpace(file.Format()), "\n")[1:]
		shuffled := fileOf(1, rapid.Permutation(lines).Draw(t, "order")...)
		host := rapid.SampledFrom([]string{"a.example", "b.example"}).Draw(t, "host")
		method := rapid.SampledFrom([]string{"GET", "HEAD", "POST", "PUT"}).Draw(t, "method")
		path := rapid.SampledFrom([]string{"/", "/a", "/a/", "/a/b", "/a/c", "/c/b", "/b/x/c", "/x/y/z"}).Draw(t, "path")
		r := httptest.NewRequest(method, "http://"+host+path, nil)
		found, ok := rule.Compile(file).Match(r)
		other, _ := rule.Compile(genFile(t, 1)).Recompile(shuffled).Match(r)
		if found != other {
			t.Fatalf("got rule %v, and with another order of lines %v", found, other)
		}
		anyMatches := false
		for _, candidate := range file.Rules() {
			anyMatches = anyMatches || matches(candidate, host, method, path)
		}
		if anyMatches != ok || ok && !matches(found, host, method, path) {
			t.Fatalf("got rule %v and match %t, want match %t", found, ok, anyMatches)
		}
	})
}
