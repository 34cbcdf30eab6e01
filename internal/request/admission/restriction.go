package admission

import (
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/quota"
)

// restrictions are the servers of one service, other than leaving ones, that have stated
// that they do not take every request.
type restrictions struct {
	// limited holds the servers with a limit that may get a request now.
	limited []string
	// cold holds those of limited that have stated no limit but are warming up.
	cold []string
	// excluded holds the servers that may not get a request now, because of their limit
	// or because they asked for a pause.
	excluded []string
	// wait is the time until the first one of excluded may get a request.
	wait time.Duration
}

// pause is the time until which one incarnation of a server wants no request of this
// gateway.
type pause struct {
	incarnation int64
	until       time.Time
}

// setPause records that a server wants no request for d, and reports whether a pause
// begins. A shorter pause does not end a longer one.
func (s *statements) setPause(now time.Time, server mustardsaddle.Server, d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := pause{incarnation: server.Incarnation, until: now.Add(d)}
	known := s.pauses[server.Name]
	if known.incarnation > next.incarnation || known.incarnation == next.incarnation && known.until.After(next.until) {
		return false
	}
	s.pauses[server.Name] = next
	s.paused.Store(int64(len(s.pauses)))
	return known.incarnation != next.incarnation || !now.Before(known.until)
}

// restrictions returns which servers of a service do not take every request. If known is not
// nil, cold servers that are not in it are left out.
func (s *statements) restrictions(now time.Time, service string, known map[string]bool) restrictions {
	r := restrictions{wait: quota.Never}
	if s.limited.Load() == 0 && s.paused.Load() == 0 && !s.cold.any(service) {
		return r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold.refresh(now, service)
	for name, p := range s.pauses {
		if s.endPause(now, name, p) {
			continue
		}
		if server, _ := s.table.Server(name); server.Service == service && !server.Evacuated {
			r.exclude(name, p.until.Sub(now))
		}
	}
	for _, name := range s.byService[service] {
		s.restrict(now, name, &r)
	}
	limited := len(r.limited)
	for _, server := range s.cold.services[service].servers {
		if (known == nil || known[server.Name]) && !slices.Contains(s.byService[service], server.Name) {
			s.restrict(now, server.Name, &r)
		}
	}
	r.cold = r.limited[limited:]
	return r
}

// restrict adds a server that needs a token for each request, unless it is paused, leaving
// or evacuated. The caller holds mu.
func (s *statements) restrict(now time.Time, name string, r *restrictions) {
	server, _ := s.table.Server(name)
	if _, isPaused := s.pauses[name]; isPaused || server.Leaving || server.Evacuated {
		return
	}
	if wait := max(s.quotas.Wait(now, name), s.cold.shares.Wait(now, name)); wait > 0 {
		r.exclude(name, wait)
		return
	}
	r.limited = append(r.limited, name)
}

// Holders returns the names of the other gateways that may send requests to servers of the
// service that limit theirs or are warming up, each once.
func (c *Controller) Holders() []string {
	s := c.controllers.statements
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for _, server := range s.byService[c.Service] {
		if stated, _ := s.table.Server(server); !stated.Leaving && !stated.Evacuated {
			names = append(names, s.quotas.HolderNames(server)...)
		}
	}
	for _, server := range s.cold.services[c.Service].servers {
		if listed, _ := s.table.Server(server.Name); !listed.Leaving && !listed.Evacuated {
			names = append(names, s.cold.shares.HolderNames(server.Name)...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// exclude adds a server that may get a request after wait.
func (r *restrictions) exclude(server string, wait time.Duration) {
	r.excluded = append(r.excluded, server)
	r.wait = min(r.wait, wait)
}

// endPause forgets a pause that is over, and reports whether it is. The caller holds mu.
func (s *statements) endPause(now time.Time, server string, p pause) bool {
	if now.Before(p.until) {
		return false
	}
	delete(s.pauses, server)
	s.paused.Store(int64(len(s.pauses)))
	return true
}

// take takes a token for a request to a server. It returns false if the server may not get
// a request now, because of its limit, its warm-up or because it asked for a pause.
func (s *statements) take(now time.Time, server string) bool {
	if s.limited.Load() == 0 && s.paused.Load() == 0 && s.cold.count.Load() == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.pauses[server]; ok && now.Before(p.until) {
		return false
	}
	return s.cold.shares.Wait(now, server) == 0 && s.quotas.Take(now, server) && s.cold.shares.Take(now, server)
}
