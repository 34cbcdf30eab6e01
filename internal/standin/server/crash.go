package server

import (
	"net/http"
	"strconv"
	"time"
)

// CrashParameter is the query parameter that marks a request under which a Process ends.
// Its value is one of the ways to end.
const CrashParameter = "Crash"

// Ways in which a Process ends.
const (
	// CrashReset ends the process after CrashDelay, with all of its connections.
	CrashReset = "Reset"
	// CrashPart ends it after part of the response.
	CrashPart = "Part"
)

// crashPartBytes is the stated length of a response of which CrashPart sends half.
const crashPartBytes = 1 << 20

// CrashHandler returns a handler that calls end for each marked request after a delay, and
// next for any other request. The marked request is aborted when its connection has ended.
func CrashHandler(next http.Handler, delay time.Duration, end func()) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		how := r.URL.Query().Get(CrashParameter)
		if how == "" {
			next.ServeHTTP(w, r)
			return
		}
		time.Sleep(delay)
		if how == CrashPart {
			sendPart(w)
		}
		end()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
}

// sendPart sends half of a response.
func sendPart(w http.ResponseWriter) {
	w.Header().Set("Content-Length", strconv.Itoa(crashPartBytes))
	_, _ = w.Write(make([]byte, crashPartBytes/2))
	_ = http.NewResponseController(w).Flush()
}
