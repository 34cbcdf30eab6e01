package admission

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/survey"
	"mustardsaddle.example/mustardsaddle/internal/request/connection"
)

// questionTimeout bounds one question; its connection is closed then.
const questionTimeout = 150 * time.Millisecond

// setQuestions takes this gateway's part of the questions that the servers of the
// service may get. The caller holds mu.
func (l *Lane) setQuestions(now time.Time) {
	gateways := cmp.Or(l.lanes.gateways.Load(), assumedGateways)
	l.questions.SetRate(now, survey.Rate(l.lanes.cfg.ServerPerSecond, l.usable, int(gateways)))
}

// Ask lets the chooser ask a few servers for their load, and waits for the answers
// that come soon. It does nothing for a chooser that asks nobody. It returns true if
// the budget permitted no question, so that older reports or a guess must do.
func (l *Lane) Ask(ctx context.Context, tried []string) (blind bool) {
	surveyor, ok := l.chooser.(mustardsaddle.Surveyor)
	if !ok || l.lanes.cfg.Budget == nil {
		return false
	}
	now := time.Now()
	l.mu.Lock()
	servers := surveyor.Ask(now, l.rng, l.need(tried), l.questions.Next(now))
	for i := range servers {
		if !l.questions.Take(now) || !l.lanes.cfg.Budget.Take(now, 1, probeRequestBytes+probeAnswerBytes) {
			surveyor.Unasked(servers[i:])
			servers = servers[:i]
			blind = i == 0
			break
		}
	}
	l.mu.Unlock()
	if len(servers) > 0 {
		l.question(ctx, servers)
	}
	return blind
}

// question asks servers at the same time, and returns when all have answered or
// the patience is over. Later answers count all the same.
func (l *Lane) question(ctx context.Context, servers []mustardsaddle.Server) {
	l.Metrics.Questions.Inc(int64(len(servers)))
	path := l.lanes.probePath(l.Service)
	answered := make(chan struct{}, len(servers))
	for _, server := range servers {
		go func() {
			// The answer serves other calls too, so that the caller's end does not end it.
			asking, cancel := context.WithTimeout(context.WithoutCancel(ctx), questionTimeout)
			defer cancel()
			l.questionOne(asking, server, path)
			answered <- struct{}{}
		}()
	}
	patience := time.NewTimer(survey.AnswerPatience)
	defer patience.Stop()
	for range servers {
		select {
		case <-answered:
		case <-patience.C:
			return
		}
	}
}

// questionOne asks one server.
func (l *Lane) questionOne(ctx context.Context, server mustardsaddle.Server, path string) {
	h, reply := l.lanes.questionServer(ctx, server, path)
	now := time.Now()
	l.mu.Lock()
	if surveyor, ok := l.chooser.(mustardsaddle.Surveyor); ok {
		surveyor.Asked(now, server.Name, reply)
	}
	if reply == mustardsaddle.OwnReply {
		l.reusedAt[server.Name] = now
	}
	l.logVerdicts()
	l.mu.Unlock()
	if reply == mustardsaddle.OwnReply {
		l.ObserveHeader(now, server.Name, h)
	}
}

// questionServer sends a question, and returns the header of the answer.
func (s *Lanes) questionServer(ctx context.Context, server mustardsaddle.Server, path string) (http.Header, mustardsaddle.Reply) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+path, http.NoBody)
	if err != nil {
		return nil, mustardsaddle.NoReply
	}
	r.Header["User-Agent"] = nil
	h, err := answerHeader(s.cfg.Transport, r)
	if err != nil {
		return nil, mustardsaddle.NoReply
	}
	if name := s.cfg.Headers.Server; name != "" {
		if told := h.Get(name); told != "" && told != server.Name {
			return nil, mustardsaddle.OtherReply
		}
	}
	return h, mustardsaddle.OwnReply
}

// answerHeader sends a request for a server's load once, and returns the header of
// the answer. A short body is read, so that the connection can be used again.
func answerHeader(t *http.Transport, r *http.Request) (http.Header, error) {
	connection.NeverResend(r)
	resp, err := t.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	_, _ = io.CopyN(io.Discard, resp.Body, probeAnswerBytes)
	_ = resp.Body.Close()
	return resp.Header, nil
}

// probePath returns the path where the servers of a service tell their load.
func (s *Lanes) probePath(service string) string {
	if table := s.cfg.Rules(); table != nil {
		if path := table.Service(service).Probe; path != "" {
			return path
		}
	}
	return s.cfg.ProbePath
}
