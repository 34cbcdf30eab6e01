package command_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	product "mustardsaddle.example/mustardsaddle/internal/product/command"
	"mustardsaddle.example/mustardsaddle/internal/standin/command"
)

// An invalid command line must be reported with the exit status Usage and a message that
// names the mistake, and a failure while running with the status Failed. The rows with the
// status Done check what valid command lines print.
func TestMistakes(t *testing.T) {
	cases := []struct {
		args   string
		status product.Status
		want   string
	}{
		{"--help", product.Done, "standin platform --listen"},
		{"server --help", product.Done, "/count"},
		{"", product.Usage, "platform"},
		{"cloud", product.Usage, "cloud"},
		{"platform --colour", product.Usage, "colour"},
		{"platform now", product.Usage, `got argument "now"`},
		{"platform --lag soon", product.Usage, "soon"},
		{"platform --lag=-1s", product.Usage, "--lag -1s"},
		{"platform --listen nowhere", product.Failed, "listen on address nowhere"},
		{"server --slots 0", product.Usage, "--slots 0"},
		{"server --slots two", product.Usage, "two"},
		{"load", product.Usage, "--target"},
		{"load --target here", product.Usage, `--target "here"`},
		{"load --target http://a --stream Booking", product.Usage, `--stream "Booking"`},
		{"load --target http://a --stream A:GET:/a:none", product.Usage, "share above 0"},
		{"load --target http://a --rate 0", product.Usage, "rate 0"},
		{"load --target http://a --duration 1s --warmup 2s", product.Usage, "warmup 2s"},
		{"load --target http://a --timeout 0s", product.Usage, "--timeout 0s"},
		{"trial --scenario Storm", product.Usage, "Storm"},
		{"trial --scenario Steady50 --candidate Best", product.Usage, "Best"},
		{"trial --scenario Steady50 --network Moon", product.Usage, "Moon"},
		{"model --list", product.Done, "pattern Surge"},
		{"model --pattern Storm", product.Usage, `--pattern "Storm", want one of Calm`},
		{"model --policy Best", product.Usage, `--policy "Best", want one of Survey`},
		{"model --seeds 0", product.Usage, "--seeds 0"},
		{"model now", product.Usage, `got argument "now"`},
		{"model --pattern Calm --policy Exact --seeds 1 --plot nowhere", product.Failed, "nowhere"},
		{"model --pattern Calm --policy Exact --seeds 1", product.Done, "Exact"},
		{"model --pattern Calm --policy Exact --seeds 1 --json", product.Done, `"Worth"`},
		{"trial --scenario Steady50 --repetitions 0", product.Usage, "--repetitions 0"},
	}
	for _, c := range cases {
		t.Run(c.args, func(t *testing.T) {
			var out bytes.Buffer
			status := command.Run(context.Background(), command.Config{Out: &out, Err: &out}, strings.Fields(c.args))
			if status != c.status || !strings.Contains(out.String(), c.want) {
				t.Errorf("got status %v and output %q, want status %v and output with %q", status, out.String(), c.status, c.want)
			}
		})
	}
}

func TestServe(t *testing.T) {
	for _, args := range []string{"platform --listen 127.0.0.1:0", "server --listen 127.0.0.1:0 --name booking-01"} {
		convey.Convey("Given "+args, t, func() {
			ctx, cancel := context.WithCancel(context.Background())
			r, w := io.Pipe()
			status := make(chan product.Status, 1)
			go func() { status <- command.Run(ctx, command.Config{Out: w, Err: w}, strings.Fields(args)) }()
			first, err := bufio.NewReader(r).ReadString('\n')
			convey.So(err, convey.ShouldBeNil)
			_, address, _ := strings.Cut(strings.TrimSpace(first), " listens on ")
			convey.Convey("It serves requests, and stops when its context ends", func() {
				resp, err := http.Get("http://" + address + "/machines")
				convey.So(err, convey.ShouldBeNil)
				_ = resp.Body.Close()
				convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusOK)
				cancel()
				convey.So(<-status, convey.ShouldEqual, product.Done)
			})
		})
	}
}

func TestLoad(t *testing.T) {
	convey.Convey("Given a server, load generates calls and prints the measurements", t, func() {
		srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		defer srv.Close()
		args := "load --target " + srv.URL + " --stream Plans:GET:/plans:1 --rate 200 --duration 300ms --warmup 0s"
		for _, format := range []string{"", " --json"} {
			var out bytes.Buffer
			status := command.Run(context.Background(), command.Config{Out: &out, Err: &out}, strings.Fields(args+format))
			convey.So(status, convey.ShouldEqual, product.Done)
			convey.So(out.String(), convey.ShouldContainSubstring, "Plans")
		}
	})
}
