package registry_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/control/registry"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// memory is the store of the model: all versions of each object.
type memory map[string][]string

func (m memory) get(key string, version int64) mustardsaddle.Object {
	if version < 1 || version > int64(len(m[key])) {
		return mustardsaddle.Object{Key: key}
	}
	return mustardsaddle.Object{Key: key, Version: version, Value: []byte(m[key][version-1])}
}

func (m memory) newest(key string) int64 {
	return int64(len(m[key]))
}

func (m memory) put(key, value string, version int64) (int64, error) {
	if version != m.newest(key) {
		return 0, code.Errorf(code.StoreConflict, "conflict")
	}
	m[key] = append(m[key], value)
	return version + 1, nil
}

// model is several gateways, racing operators and a store with faults.
type model struct {
	store    memory
	gateways []*registry.Core
	// highest is the highest generation that each gateway had in force.
	highest []int64
	// spread are all changes ever sent; any may come late, twice or never.
	spread []rule.Change
	// late are writes whose answer was lost and that take effect later.
	late  []registry.Step
	edits int
	// alien are the versions of Rules/Accepted that no gateway wrote.
	alien map[int64]bool
	// faults is false while the model settles.
	faults bool
}

const fleet = 4

func newModel() *model {
	m := &model{store: memory{}, faults: true, alien: make(map[int64]bool), highest: make([]int64, fleet)}
	for range fleet {
		m.gateways = append(m.gateways, registry.NewCore())
	}
	return m
}

var errStore = code.Errorf(code.StoreUnavailable, "no answer")

// submit edits one of the accepted files, as an operator who read it back some
// time ago, and writes it whatever others did meanwhile.
func (m *model) submit(t *rapid.T) {
	base := rule.File{}
	if n := m.store.newest(registry.AcceptedKey); n > 0 {
		version := rapid.Int64Range(max(1, n-12), n).Draw(t, "base")
		for m.alien[version] {
			version--
		}
		if version > 0 {
			base = m.accepted(t, version).File
		}
	}
	lines := strings.Split(strings.TrimSuffix(base.Format(), "\n"), "\n")
	for range rapid.IntRange(1, 2).Draw(t, "edits") {
		m.edits++
		line := fmt.Sprintf("Path=/r%d Service=S%d # Tan: edit", rapid.IntRange(0, 5).Draw(t, "rule"), m.edits)
		at := slices.IndexFunc(lines, func(s string) bool { return strings.HasPrefix(s, line[:8]) })
		switch {
		case at < 0:
			lines = append(lines, line)
		case rapid.IntRange(0, 2).Draw(t, "remove") == 0:
			lines = slices.Delete(lines, at, at+1)
		default:
			lines[at] = line
		}
	}
	if rapid.IntRange(0, 9).Draw(t, "mistake") == 0 {
		lines = append(lines, "Path=/broken")
	}
	m.store[registry.SubmittedKey] = append(m.store[registry.SubmittedKey], strings.Join(lines, "\n"))
}

func (m *model) accepted(t *rapid.T, version int64) rule.Accepted {
	a, err := rule.ParseAccepted(string(m.store.get(registry.AcceptedKey, version).Value))
	if err != nil {
		t.Fatalf("version %d of Rules/Accepted: %v", version, err)
	}
	return a
}

// step lets a gateway do its next step, with a fault or without.
func (m *model) step(t *rapid.T, i int) {
	c := m.gateways[i]
	c.Notice(m.store.newest(registry.SubmittedKey))
	step := c.Next(time.Unix(1000, 0))
	fault := "none"
	if m.faults {
		fault = rapid.SampledFrom([]string{"none", "none", "none", "lost", "applied", "late", "forget"}).Draw(t, "fault")
	}
	if step.Action == registry.Write {
		m.write(c, step, fault)
		return
	}
	if fault == "forget" {
		c.Forget()
	}
	if fault != "none" {
		return
	}
	switch step.Action {
	default:
	case registry.ReadAccepted:
		m.take(c, m.store.newest(registry.AcceptedKey))
	case registry.ReadSubmission:
		_ = c.TakeSubmission(step.Version, m.store.get(registry.SubmittedKey, step.Version), nil)
	case registry.ReadPrevious:
		c.TakePrevious(step.Version, m.store.get(registry.AcceptedKey, step.Version))
	case registry.ReadBase:
		c.TakeBase(step.Version, m.store.get(registry.AcceptedKey, step.Version))
	}
}

func (m *model) write(c *registry.Core, step registry.Step, fault string) {
	switch fault {
	case "none", "forget":
		version, err := m.store.put(registry.AcceptedKey, string(step.Value), step.Version)
		m.brought(c.Wrote(step, version, err))
	case "applied":
		_, _ = m.store.put(registry.AcceptedKey, string(step.Value), step.Version)
		_, _, _ = c.Wrote(step, 0, errStore)
	case "late":
		m.late = append(m.late, step)
		_, _, _ = c.Wrote(step, 0, errStore)
	default:
		_, _, _ = c.Wrote(step, 0, errStore)
	}
}

func (m *model) brought(change rule.Change, ok bool, _ error) {
	if ok {
		m.spread = append(m.spread, change)
	}
}

// take hands a gateway a version of Rules/Accepted, old or new.
func (m *model) take(c *registry.Core, version int64) {
	m.brought(c.TakeAccepted(m.store.get(registry.AcceptedKey, version)))
}

func (m *model) gateway(t *rapid.T) int {
	return rapid.IntRange(0, fleet-1).Draw(t, "gateway")
}

// check compares every gateway and every version with what may be.
func (m *model) check(t *rapid.T) {
	files := map[int64]rule.File{0: {}}
	previous := rule.Accepted{}
	for version := int64(1); version <= m.store.newest(registry.AcceptedKey); version++ {
		if m.alien[version] {
			continue
		}
		a := m.accepted(t, version)
		if !m.alien[version-1] || a.Format() != previous.Format() {
			m.checkAcceptance(t, files, previous, a)
		}
		files[a.File.Generation] = a.File
		previous = a
	}
	for i, c := range m.gateways {
		f := c.File()
		if f.Generation < m.highest[i] {
			t.Fatalf("gateway %d fell from generation %d to %d", i, m.highest[i], f.Generation)
		}
		m.highest[i] = f.Generation
		if seen := c.Seen(); seen > 0 && !m.alien[seen] && m.accepted(t, seen).File.Generation > f.Generation {
			t.Fatalf("gateway %d takes version %d as seen, want less with generation %d", i, seen, f.Generation)
		}
		if want, ok := files[f.Generation]; !ok || want.Digest() != f.Digest() {
			t.Fatalf("gateway %d has in force as generation %d what was never accepted: %q", i, f.Generation, f.Format())
		}
	}
}

// checkAcceptance checks that one version follows from the one before by exactly
// the next submission: what it changed against its base and nothing else.
func (m *model) checkAcceptance(t *rapid.T, files map[int64]rule.File, before, after rule.Accepted) {
	if after.Submission != before.Submission+1 {
		t.Fatalf("handled submission %d after %d", after.Submission, before.Submission)
	}
	if grown := after.File.Generation - before.File.Generation; grown != 0 && grown != 1 {
		t.Fatalf("generation grew by %d", grown)
	}
	s := rule.ParseSubmission(after.Submission, string(m.store.get(registry.SubmittedKey, after.Submission).Value))
	base, submitted := rules(files[s.File.Generation]), rules(s.File)
	old, now := rules(before.File), rules(after.File)
	refused := slices.ContainsFunc(after.Refusals, func(r rule.Refusal) bool { return r.Submission == s.Version })
	if slices.ContainsFunc(after.Refusals, func(r rule.Refusal) bool { return r.Problem.Code == code.RuleUnknownBase }) {
		t.Fatalf("submission %d refused although its base is in the store", s.Version)
	}
	for i := range 6 {
		path := fmt.Sprintf("/r%d", i)
		switch {
		case now[path] != old[path] && (now[path] != submitted[path] || submitted[path] == base[path] || old[path] != base[path]):
			t.Fatalf("submission %d changed %s from %q to %q against its text", s.Version, path, old[path], now[path])
		case now[path] != submitted[path] && submitted[path] != base[path] && !refused:
			t.Fatalf("submission %d lost its change of %s to %q without a refusal", s.Version, path, submitted[path])
		}
	}
}

func rules(f rule.File) map[string]string {
	services := make(map[string]string)
	for _, r := range f.Rules() {
		services[r.Path] = r.Service
	}
	return services
}

// settle ends all faults: every gateway works off what there is and reads the
// newest version.
func (m *model) settle(t *rapid.T) {
	m.faults = false
	for i := range m.gateways {
		m.take(m.gateways[i], m.store.newest(registry.AcceptedKey))
		for n := 0; ; n++ {
			if n > 1000 {
				t.Fatalf("gateway %d does not come to rest", i)
			}
			c := m.gateways[i]
			c.Notice(m.store.newest(registry.SubmittedKey))
			if c.Next(time.Unix(1000, 0)).Action == registry.Idle {
				break
			}
			m.step(t, i)
		}
	}
	newest := m.store.newest(registry.AcceptedKey)
	for i, c := range m.gateways {
		m.take(c, newest)
		if newest > 0 && !c.File().Equal(m.accepted(t, newest).File) {
			t.Fatalf("gateway %d ends with %q, want %q", i, c.File().Format(), m.accepted(t, newest).File.Format())
		}
	}
	if newest > 0 && m.accepted(t, newest).Submission != m.store.newest(registry.SubmittedKey) {
		t.Fatalf("submission %d is the last handled, want %d", m.accepted(t, newest).Submission, m.store.newest(registry.SubmittedKey))
	}
}

// TestAcceptanceModel runs racing operators against gateways that pause, restart,
// lose answers, write late and hear from peers late, twice or never.
func TestAcceptanceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		step := func(t *rapid.T) {
			i := m.gateway(t)
			for range rapid.IntRange(1, 6).Draw(t, "steps") {
				m.step(t, i)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit,
			"step":   step,
			"step2":  step,
			"step3":  step,
			"alien": func(t *rapid.T) {
				// The first version must be good for there to be something to keep.
				if n := m.store.newest(registry.AcceptedKey); n > 0 && rapid.IntRange(0, 3).Draw(t, "alien") == 0 {
					m.store[registry.AcceptedKey] = append(m.store[registry.AcceptedKey], "{}")
					m.alien[n+1] = true
				}
			},
			"late write": func(*rapid.T) {
				for _, s := range m.late {
					_, _ = m.store.put(registry.AcceptedKey, string(s.Value), s.Version)
				}
				m.late = nil
			},
			"watch": func(t *rapid.T) {
				if n := m.store.newest(registry.AcceptedKey); n > 0 {
					m.take(m.gateways[m.gateway(t)], rapid.Int64Range(1, n).Draw(t, "version"))
				}
			},
			"peer": func(t *rapid.T) {
				if len(m.spread) > 0 {
					change := rapid.SampledFrom(m.spread).Draw(t, "change")
					m.gateways[m.gateway(t)].Receive(change)
				}
			},
			"whole": func(t *rapid.T) {
				f := m.gateways[m.gateway(t)].File()
				_, _ = m.gateways[m.gateway(t)].ReceiveWhole(rule.Accepted{File: f}.Format())
			},
			"replace": func(t *rapid.T) {
				i := m.gateway(t)
				m.gateways[i], m.highest[i] = registry.NewCore(), 0
			},
			"": m.check,
		})
		m.settle(t)
		m.check(t)
	})
}

func TestChangesOfPeersSaveReads(t *testing.T) {
	convey.Convey("Given a gateway that read a version, and changes of a peer that read the next two", t, func() {
		object := func(generation, submission, version int64) mustardsaddle.Object {
			a := rule.Accepted{File: fileOf(generation, fmt.Sprintf("Path=/a Service=S%d # Tan: a", generation)), Submission: submission}
			return mustardsaddle.Object{Version: version, Value: []byte(a.Format())}
		}
		peer, c := registry.NewCore(), registry.NewCore()
		_, _, _ = peer.TakeAccepted(object(1, 4, 20))
		_, _, _ = c.TakeAccepted(object(1, 4, 20))
		first, _, _ := peer.TakeAccepted(object(2, 5, 21))
		second, _, _ := peer.TakeAccepted(object(3, 7, 23))
		convey.Convey("In order, it has seen the version and has nothing to handle", func() {
			c.Receive(first)
			c.Receive(second)
			convey.So(c.Seen(), convey.ShouldEqual, 23)
			convey.So(c.Notice(7), convey.ShouldBeFalse)
			convey.So(c.Notice(8), convey.ShouldBeTrue)
		})
		convey.Convey("In disorder, the early one is kept until the other has come", func() {
			_, result := c.Receive(second)
			convey.So(result, convey.ShouldEqual, rule.Gap)
			brought, result := c.Receive(first)
			convey.So(result, convey.ShouldEqual, rule.Applied)
			convey.So(brought, convey.ShouldResemble, []rule.Change{first, second})
			convey.So(c.File().Generation, convey.ShouldEqual, 3)
			convey.So(c.Seen(), convey.ShouldEqual, 23)
		})
	})
}

func TestCoreKeepsTheLastGoodState(t *testing.T) {
	good := rule.Accepted{File: fileOf(3, "Path=/a Service=A # Tan: a"), Submission: 3}.Format()
	for _, test := range []struct {
		name   string
		object mustardsaddle.Object
		want   code.Code
	}{
		{"not ours", mustardsaddle.Object{Version: 9, Value: []byte("{}")}, code.StoreBadObject},
		{"newer format", mustardsaddle.Object{Version: 9, Value: []byte("# Format Accepted 2\n")}, code.StoreNewerFormat},
		{"too large", mustardsaddle.Object{Version: 9, Value: make([]byte, 1<<20+1)}, code.StoreTooLarge},
		{"older generation", mustardsaddle.Object{Version: 9, Value: []byte(rule.Accepted{File: fileOf(2)}.Format())}, code.StoreBadObject},
		{"other rules of the generation", mustardsaddle.Object{Version: 9, Value: []byte(rule.Accepted{File: fileOf(3)}.Format())}, code.StoreBadObject},
		{"late version", mustardsaddle.Object{Version: 2, Value: []byte(rule.Accepted{File: fileOf(2)}.Format())}, code.OK},
	} {
		convey.Convey("Given a generation in force and the object: "+test.name, t, func() {
			c := registry.NewCore()
			_, _, err := c.TakeAccepted(mustardsaddle.Object{Version: 4, Value: []byte(good)})
			convey.So(err, convey.ShouldBeNil)
			_, brought, err := c.TakeAccepted(test.object)
			convey.So(brought, convey.ShouldBeFalse)
			convey.So(code.Of(err), convey.ShouldEqual, test.want)
			convey.So(c.File().Generation, convey.ShouldEqual, 3)
		})
	}
}

func fileOf(generation int64, lines ...string) rule.File {
	file, _ := rule.Parse(strings.Join(lines, "\n"))
	return file.WithGeneration(generation)
}
