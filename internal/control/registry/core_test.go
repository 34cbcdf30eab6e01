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

// versionedStore is the store of the model: all versions of each object.
type versionedStore map[string][]string

func (m versionedStore) get(key string, version int64) mustardsaddle.Object {
	if version < 1 || version > int64(len(m[key])) {
		return mustardsaddle.Object{Key: key}
	}
	return mustardsaddle.Object{Key: key, Version: version, Value: []byte(m[key][version-1])}
}

func (m versionedStore) newest(key string) int64 {
	return int64(len(m[key]))
}

func (m versionedStore) put(key, value string, version int64) (int64, error) {
	if version != m.newest(key) {
		return 0, code.Errorf(code.StoreConflict, "conflict")
	}
	m[key] = append(m[key], value)
	return version + 1, nil
}

// model consists of several gateways, concurrent operators and a store with faults.
type model struct {
	store    versionedStore
	gateways []*registry.Core
	// highest is the highest generation that each gateway has had in force.
	highest []int64
	// sentChanges are all changes sent to peers so far; any of them may be delivered
	// late, repeatedly or never.
	sentChanges []rule.Change
	// delayedWrites are writes that take effect after their response was lost.
	delayedWrites []registry.Step
	edits         int
	// foreign holds the versions of Rules/Accepted that were not written by a gateway.
	foreign map[int64]bool
	// faults is false during the final phase, in which no faults occur.
	faults bool
}

const fleetSize = 4

func newModel() *model {
	m := &model{store: versionedStore{}, faults: true, foreign: make(map[int64]bool), highest: make([]int64, fleetSize)}
	for range fleetSize {
		m.gateways = append(m.gateways, registry.NewCore())
	}
	return m
}

var errNoResponse = code.Errorf(code.StoreUnavailable, "no response")

// submit edits one of the accepted files, as an operator does who read it some time
// ago, and writes it regardless of changes made meanwhile.
func (m *model) submit(t *rapid.T) {
	base := rule.File{}
	if n := m.store.newest(registry.AcceptedKey); n > 0 {
		version := rapid.Int64Range(max(1, n-12), n).Draw(t, "base")
		for m.foreign[version] {
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
	if rapid.IntRange(0, 9).Draw(t, "invalid line") == 0 {
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

// step executes the next step of a gateway, possibly with a fault.
func (m *model) step(t *rapid.T, i int) {
	c := m.gateways[i]
	c.ObserveSubmitted(m.store.newest(registry.SubmittedKey))
	step := c.Next(time.Unix(1000, 0))
	fault := "none"
	if m.faults {
		fault = rapid.SampledFrom([]string{"none", "none", "none", "request lost", "response lost", "write delayed", "invalidate"}).Draw(t, "fault")
	}
	if step.Action == registry.Write {
		m.write(c, step, fault)
		return
	}
	if fault == "invalidate" {
		c.Invalidate()
	}
	if fault != "none" {
		return
	}
	switch step.Action {
	default:
	case registry.ReadAccepted:
		m.takeAccepted(c, m.store.newest(registry.AcceptedKey))
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
	case "none", "invalidate":
		version, err := m.store.put(registry.AcceptedKey, string(step.Value), step.Version)
		m.recordChange(c.TakeWriteResult(step, version, err))
	case "response lost":
		_, _ = m.store.put(registry.AcceptedKey, string(step.Value), step.Version)
		_, _, _ = c.TakeWriteResult(step, 0, errNoResponse)
	case "write delayed":
		m.delayedWrites = append(m.delayedWrites, step)
		_, _, _ = c.TakeWriteResult(step, 0, errNoResponse)
	default:
		_, _, _ = c.TakeWriteResult(step, 0, errNoResponse)
	}
}

func (m *model) recordChange(change rule.Change, ok bool, _ error) {
	if ok {
		m.sentChanges = append(m.sentChanges, change)
	}
}

// takeAccepted passes a version of Rules/Accepted, current or old, to a gateway.
func (m *model) takeAccepted(c *registry.Core, version int64) {
	m.recordChange(c.TakeAccepted(m.store.get(registry.AcceptedKey, version)))
}

func (m *model) gateway(t *rapid.T) int {
	return rapid.IntRange(0, fleetSize-1).Draw(t, "gateway")
}

// check verifies the invariants of every gateway and of every accepted version.
func (m *model) check(t *rapid.T) {
	files := map[int64]rule.File{0: {}}
	previous := rule.Accepted{}
	for version := int64(1); version <= m.store.newest(registry.AcceptedKey); version++ {
		if m.foreign[version] {
			continue
		}
		a := m.accepted(t, version)
		if !m.foreign[version-1] || a.Format() != previous.Format() {
			m.checkAcceptance(t, files, previous, a)
		}
		files[a.File.Generation] = a.File
		previous = a
	}
	for i, c := range m.gateways {
		f := c.File()
		if f.Generation < m.highest[i] {
			t.Fatalf("gateway %d reverted from generation %d to %d", i, m.highest[i], f.Generation)
		}
		m.highest[i] = f.Generation
		if seen := c.SyncedVersion(); seen > 0 && !m.foreign[seen] && m.accepted(t, seen).File.Generation > f.Generation {
			t.Fatalf("gateway %d: got synced version %d, want a lower one with generation %d", i, seen, f.Generation)
		}
		if want, ok := files[f.Generation]; !ok || want.Digest() != f.Digest() {
			t.Fatalf("gateway %d: rules in force at generation %d were never accepted: %q", i, f.Generation, f.Format())
		}
	}
}

// checkAcceptance checks that a version results from the previous one by applying
// exactly the next submission: the changes of the submission relative to its base, and
// no others.
func (m *model) checkAcceptance(t *rapid.T, files map[int64]rule.File, before, after rule.Accepted) {
	if after.Submission != before.Submission+1 {
		t.Fatalf("got submission %d handled after %d, want the next one", after.Submission, before.Submission)
	}
	if grown := after.File.Generation - before.File.Generation; grown != 0 && grown != 1 {
		t.Fatalf("generation increased by %d, want 0 or 1", grown)
	}
	s := rule.ParseSubmission(after.Submission, string(m.store.get(registry.SubmittedKey, after.Submission).Value))
	base, submitted := rules(files[s.File.Generation]), rules(s.File)
	old, now := rules(before.File), rules(after.File)
	refused := slices.ContainsFunc(after.Refusals, func(r rule.Refusal) bool { return r.Submission == s.Version })
	if slices.ContainsFunc(after.Refusals, func(r rule.Refusal) bool { return r.Problem.Code == code.RuleUnknownBase }) {
		t.Fatalf("submission %d refused for an unknown base, although the base is in the store", s.Version)
	}
	for i := range 6 {
		path := fmt.Sprintf("/r%d", i)
		switch {
		case now[path] != old[path] && (now[path] != submitted[path] || submitted[path] == base[path] || old[path] != base[path]):
			t.Fatalf("submission %d changed %s from %q to %q, want no change, since its text has none or a conflicting one", s.Version, path, old[path], now[path])
		case now[path] != submitted[path] && submitted[path] != base[path] && !refused:
			t.Fatalf("change of submission %d that sets %s to %q was neither applied nor refused", s.Version, path, submitted[path])
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

// settle stops all faults and checks that every gateway handles all submissions and
// reaches the newest version.
func (m *model) settle(t *rapid.T) {
	m.faults = false
	for i := range m.gateways {
		m.takeAccepted(m.gateways[i], m.store.newest(registry.AcceptedKey))
		for n := 0; ; n++ {
			if n > 1000 {
				t.Fatalf("gateway %d is not idle after 1000 steps", i)
			}
			c := m.gateways[i]
			c.ObserveSubmitted(m.store.newest(registry.SubmittedKey))
			if c.Next(time.Unix(1000, 0)).Action == registry.Idle {
				break
			}
			m.step(t, i)
		}
	}
	newest := m.store.newest(registry.AcceptedKey)
	for i, c := range m.gateways {
		m.takeAccepted(c, newest)
		if newest > 0 && !c.File().Equal(m.accepted(t, newest).File) {
			t.Fatalf("gateway %d: got final rules %q, want %q", i, c.File().Format(), m.accepted(t, newest).File.Format())
		}
	}
	if newest > 0 && m.accepted(t, newest).Submission != m.store.newest(registry.SubmittedKey) {
		t.Fatalf("got last handled submission %d, want %d", m.accepted(t, newest).Submission, m.store.newest(registry.SubmittedKey))
	}
}

// TestAcceptanceModel checks acceptance with concurrent operators and with gateways
// that pause, restart, lose responses, have writes applied late, and receive changes
// from peers late, repeatedly or never. Every submission must be handled exactly once
// and in order, and no gateway may revert to a lower generation.
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
			"foreign write": func(t *rapid.T) {
				// A repair needs at least one valid version to restore.
				if n := m.store.newest(registry.AcceptedKey); n > 0 && rapid.IntRange(0, 3).Draw(t, "foreign write") == 0 {
					m.store[registry.AcceptedKey] = append(m.store[registry.AcceptedKey], "{}")
					m.foreign[n+1] = true
				}
			},
			"late write": func(*rapid.T) {
				for _, s := range m.delayedWrites {
					_, _ = m.store.put(registry.AcceptedKey, string(s.Value), s.Version)
				}
				m.delayedWrites = nil
			},
			"watch": func(t *rapid.T) {
				if n := m.store.newest(registry.AcceptedKey); n > 0 {
					m.takeAccepted(m.gateways[m.gateway(t)], rapid.Int64Range(1, n).Draw(t, "version"))
				}
			},
			"peer": func(t *rapid.T) {
				if len(m.sentChanges) > 0 {
					change := rapid.SampledFrom(m.sentChanges).Draw(t, "change")
					m.gateways[m.gateway(t)].Receive(change)
				}
			},
			"whole": func(t *rapid.T) {
				f := m.gateways[m.gateway(t)].File()
				_, _ = m.gateways[m.gateway(t)].ReceiveSnapshot(rule.Accepted{File: f}.Format())
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
	convey.Convey("Given a gateway that has read a version, and changes from a peer that has read the next two", t, func() {
		object := func(generation, submission, version int64) mustardsaddle.Object {
			a := rule.Accepted{File: fileOf(generation, fmt.Sprintf("Path=/a Service=S%d # Tan: a", generation)), Submission: submission}
			return mustardsaddle.Object{Version: version, Value: []byte(a.Format())}
		}
		peer, c := registry.NewCore(), registry.NewCore()
		_, _, _ = peer.TakeAccepted(object(1, 4, 20))
		_, _, _ = c.TakeAccepted(object(1, 4, 20))
		first, _, _ := peer.TakeAccepted(object(2, 5, 21))
		second, _, _ := peer.TakeAccepted(object(3, 7, 23))
		convey.Convey("In order, they advance the synced version and leave nothing to handle", func() {
			c.Receive(first)
			c.Receive(second)
			convey.So(c.SyncedVersion(), convey.ShouldEqual, 23)
			convey.So(c.ObserveSubmitted(7), convey.ShouldBeFalse)
			convey.So(c.ObserveSubmitted(8), convey.ShouldBeTrue)
		})
		convey.Convey("Out of order, the second is buffered until the first has arrived", func() {
			_, result := c.Receive(second)
			convey.So(result, convey.ShouldEqual, rule.Gap)
			applied, result := c.Receive(first)
			convey.So(result, convey.ShouldEqual, rule.Applied)
			convey.So(applied, convey.ShouldResemble, []rule.Change{first, second})
			convey.So(c.File().Generation, convey.ShouldEqual, 3)
			convey.So(c.SyncedVersion(), convey.ShouldEqual, 23)
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
		{"unknown format", mustardsaddle.Object{Version: 9, Value: []byte("{}")}, code.StoreBadObject},
		{"newer format", mustardsaddle.Object{Version: 9, Value: []byte("# Format Accepted 2\n")}, code.StoreNewerFormat},
		{"too large", mustardsaddle.Object{Version: 9, Value: make([]byte, 1<<20+1)}, code.StoreTooLarge},
		{"older generation", mustardsaddle.Object{Version: 9, Value: []byte(rule.Accepted{File: fileOf(2)}.Format())}, code.StoreBadObject},
		{"other rules at the same generation", mustardsaddle.Object{Version: 9, Value: []byte(rule.Accepted{File: fileOf(3)}.Format())}, code.StoreBadObject},
		{"older version", mustardsaddle.Object{Version: 2, Value: []byte(rule.Accepted{File: fileOf(2)}.Format())}, code.OK},
	} {
		convey.Convey("Given a generation in force and the object: "+test.name, t, func() {
			c := registry.NewCore()
			_, _, err := c.TakeAccepted(mustardsaddle.Object{Version: 4, Value: []byte(good)})
			convey.So(err, convey.ShouldBeNil)
			_, changed, err := c.TakeAccepted(test.object)
			convey.So(changed, convey.ShouldBeFalse)
			convey.So(code.Of(err), convey.ShouldEqual, test.want)
			convey.So(c.File().Generation, convey.ShouldEqual, 3)
		})
	}
}

func fileOf(generation int64, lines ...string) rule.File {
	file, _ := rule.Parse(strings.Join(lines, "\n"))
	return file.WithGeneration(generation)
}
