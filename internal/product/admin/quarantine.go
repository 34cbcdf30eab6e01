package admin

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/choice/quarantine"
)

// QuarantinePath is the path of the page of requests under which servers have ended. DELETE
// on the path of one of them releases it.
const QuarantinePath = "/quarantine"

// Suspect is a request under which servers have ended, as the quarantine page shows it.
type Suspect struct {
	// Digest identifies the request.
	Digest string
	// Service is the service of the request.
	Service string
	// State is Suspect, Due or Quarantined.
	State string
	// Servers holds the instances that have ended since the last complete response.
	Servers []mustardsaddle.Instance
	// Retests is the number of times that the request was sent again meanwhile.
	Retests int
	// Age is the time since the newest crash or retest, in seconds, and Wait the time until
	// the next retest, or until the request is forgotten.
	Age, Wait float64
}

func newSuspect(item quarantine.Item) Suspect {
	return Suspect{
		Digest: item.Digest.String(), Service: item.Service, State: item.State.String(), Servers: item.RequestSuspicion.Crashes,
		Retests: item.Retests, Age: item.Age.Round(time.Millisecond).Seconds(), Wait: item.Wait.Round(time.Millisecond).Seconds(),
	}
}

// quarantine lists the suspect and quarantined requests.
func (p pages) quarantine(w http.ResponseWriter, _ *http.Request) {
	suspects := []Suspect{}
	for _, item := range p.cfg.Quarantine() {
		suspects = append(suspects, newSuspect(item))
	}
	writeJSON(w, suspects)
}

// release releases one request.
func (p pages) release(w http.ResponseWriter, r *http.Request) {
	digest, err := mustardsaddle.ParseRequestDigest(mux.Vars(r)["digest"])
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if !p.cfg.Release(digest) {
		writeError(w, http.StatusNotFound, code.Errorf(code.RequestDigestUnknown, "release request %s: it is neither suspect nor quarantined", digest))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
