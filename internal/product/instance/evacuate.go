package instance

import (
	"context"
	"slices"
	"strings"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/control/registry"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/product/admin"
)

// Places where operators write evacuations.
const (
	writtenInRules    = "Rules"
	writtenInPlatform = "Platform"
)

var _ admin.EvacuationChanger = (*instance)(nil)

// evacuations returns the evacuated zones for the admin page.
func (in *instance) evacuations() admin.Evacuations {
	page := admin.Evacuations{WrittenIn: writtenInRules, Zones: []string{}, Evacuated: []admin.EvacuatedZone{}}
	if in.catalog != nil {
		page.WrittenIn = writtenInPlatform
	}
	servers := make(map[string]int)
	for _, s := range in.servers() {
		servers[s.Zone]++
		page.Zones = append(page.Zones, s.Zone)
	}
	slices.Sort(page.Zones)
	page.Zones = slices.Compact(page.Zones)
	inFlight := in.gateway.Controllers().EvacuatedInFlight()
	for _, z := range in.evacuatedZones() {
		page.Evacuated = append(page.Evacuated, admin.EvacuatedZone{
			Zone: z.Zone, Comment: z.Comment, Since: z.Since, Lost: z.Lost, Servers: servers[z.Zone], InFlight: inFlight[z.Zone],
		})
	}
	return page
}

// Evacuate submits the rules in force with a line that evacuates a zone.
func (in *instance) Evacuate(ctx context.Context, zone, comment string) error {
	if err := in.checkWrittenInRules(); err != nil {
		return err
	}
	if zones := in.evacuations().Zones; !slices.Contains(zones, zone) {
		return code.Errorf(code.EvacuationZoneUnknown, "evacuate %q: got a zone without endpoint servers, want one of %s", zone, strings.Join(zones, ", "))
	}
	if strings.ContainsAny(comment, "\r\n") {
		return code.Errorf(code.RuleBadEncoding, "evacuate %q: got a comment of several lines, want one", zone)
	}
	text, generation := in.registry.Snapshot()
	if _, ok := findEvacuation(text, zone); ok {
		return nil
	}
	return in.submitRules(ctx, generation, text+rule.Rule{Evacuate: zone, Comment: comment}.String()+"\n")
}

// EndEvacuation submits the rules in force without the line that evacuates a zone.
func (in *instance) EndEvacuation(ctx context.Context, zone string) error {
	if err := in.checkWrittenInRules(); err != nil {
		return err
	}
	text, generation := in.registry.Snapshot()
	line, ok := findEvacuation(text, zone)
	if !ok {
		return code.Errorf(code.EvacuationUnknown, "end the evacuation of %q: the rules in force do not contain it", zone)
	}
	lines := strings.Split(text, "\n")
	return in.submitRules(ctx, generation, strings.Join(slices.Delete(lines, line, line+1), "\n"))
}

// checkWrittenInRules returns an error if evacuations are not lines of the rules file.
func (in *instance) checkWrittenInRules() error {
	if in.registry == nil {
		return code.Errorf(code.EvacuationElsewhere, "change an evacuation: this deployment's evacuations are entries in the platform's store, write them there")
	}
	return nil
}

// findEvacuation returns the index of the line of a rules file that evacuates a zone.
func findEvacuation(text, zone string) (int, bool) {
	i := slices.IndexFunc(strings.Split(text, "\n"), func(s string) bool {
		fields, _, _ := strings.Cut(s, "#")
		return strings.TrimSpace(fields) == "Evacuate="+zone
	})
	return i, i >= 0
}

// submitRules submits a rules file that is based on a generation, unless it has problems or an
// operator submits another one at the same time.
func (in *instance) submitRules(ctx context.Context, generation int64, text string) error {
	if _, problems := rule.Parse(text); len(problems) > 0 {
		return code.Errorf(problems[0].Code, "submit rules of generation %d: %s", generation, problems[0].Text)
	}
	current, err := in.store.Get(ctx, registry.SubmittedKey)
	if err != nil {
		return err
	}
	_, err = in.store.Put(ctx, registry.SubmittedKey, []byte(text), current.Version)
	return err
}
