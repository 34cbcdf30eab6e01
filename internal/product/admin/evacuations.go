package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// EvacuationsPath is the path of the page of evacuated availability zones. PUT on the path of
// a zone, with the query field CommentField, asks for its evacuation, and DELETE ends it.
const EvacuationsPath = "/evacuations"

// CommentField is the query field with the comment that names who asks for a change and why.
const CommentField = "Comment"

// Evacuations are the evacuated availability zones, as the evacuations page shows them.
type Evacuations struct {
	// WrittenIn says where operators write evacuations: Rules or Platform.
	WrittenIn string
	// Zones are the names of the zones that have endpoint servers.
	Zones []string
	// Evacuated are the evacuated zones.
	Evacuated []EvacuatedZone
}

// EvacuatedZone is an evacuated availability zone.
type EvacuatedZone struct {
	Zone string
	// Comment names who asked for it and why; empty if the platform does not say so.
	Comment string
	// Since is when this gateway learned of it.
	Since time.Time
	// Lost is true if the platform's store was restored from a copy without the evacuation,
	// which stays in effect for a while.
	Lost bool
	// Servers is the number of endpoint servers in the zone.
	Servers int
	// InFlight is the number of attempts of this gateway that run there.
	InFlight int
}

// EvacuationChanger changes which zones are evacuated.
type EvacuationChanger interface {
	// Evacuate asks for the evacuation of a zone.
	Evacuate(ctx context.Context, zone, comment string) error
	// EndEvacuation takes the evacuation of a zone back.
	EndEvacuation(ctx context.Context, zone string) error
}

// evacuations lists the evacuated zones.
func (p pages) evacuations(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.cfg.Evacuations())
}

// evacuate begins the evacuation of a zone.
func (p pages) evacuate(w http.ResponseWriter, r *http.Request) {
	err := p.cfg.EvacuationChanger.Evacuate(r.Context(), mux.Vars(r)["zone"], r.URL.Query().Get(CommentField))
	writeEvacuationResult(w, err)
}

// endEvacuation ends the evacuation of a zone.
func (p pages) endEvacuation(w http.ResponseWriter, r *http.Request) {
	writeEvacuationResult(w, p.cfg.EvacuationChanger.EndEvacuation(r.Context(), mux.Vars(r)["zone"]))
}

func writeEvacuationResult(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, evacuationStatus(err), err)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// evacuationStatus returns the status of the response to a change that has failed.
func evacuationStatus(err error) int {
	switch code.Of(err) {
	case code.EvacuationZoneUnknown, code.EvacuationUnknown:
		return http.StatusNotFound
	case code.EvacuationElsewhere, code.StoreConflict:
		return http.StatusConflict
	case code.RuleNoWho, code.RuleBadEncoding, code.RuleBadValue, code.RuleSyntax:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}
