package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// resumeRuntime is how long callers download.
	resumeRuntime = 50 * time.Second
	// resumeCallers is the number of callers that download at the same time.
	resumeCallers = 9
	// videoBytes is the size of a download, and videoSeconds the time that an upstream takes
	// to send it.
	videoBytes   = 2 << 20
	videoSeconds = 2
	// resetInterval is the time between two resets, of resetShare of the connections of one
	// gateway in three.
	resetInterval = 2 * time.Second
	resetShare    = 0.55
	// readInterval is the time between two short reads of the same service at each gateway.
	readInterval = 80 * time.Millisecond
	// allowedExcess is the number of requests that may run on too many upstreams.
	allowedExcess = 3
)

// downloadRoute is a route with its greatest number of upstreams.
type downloadRoute struct {
	name, prefix string
	attempts     int
}

func downloadRoutes() []downloadRoute {
	return []downloadRoute{{"r-plans", "/plans/", 1}, {"r-videos", "/videos/", 2}}
}

// Values of the library.
const (
	libraryService = "shedlibrary"
	// listPrefix is the path of the short reads, and listIDPrefix begins their IDs.
	listPrefix   = "/lists/"
	listIDPrefix = "list-"
)

func resumeConfig() configSpec {
	routes := map[string]routeSpec{"r-lists": {
		Host: callerHost, PathPrefix: listPrefix, Kind: routeSafe, Timeout: "1000ms", Target: "300ms", Priority: 1, Service: libraryService, Attempts: 2,
	}}
	for _, r := range downloadRoutes() {
		routes[r.name] = routeSpec{
			Host: callerHost, PathPrefix: r.prefix, Kind: routeDownload, Timeout: "6000ms", Target: "2000ms", Priority: 2, Service: libraryService, Attempts: r.attempts,
		}
	}
	return newConfig("00000001", routes, libraryService)
}

// serveLibrary sends a list at once, and a file at the speed of a slow link.
func serveLibrary(u *upstream, w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, listPrefix) {
		_, _ = io.WriteString(w, "lathe, bandsaw")
		return
	}
	sendVideo(u, w, r)
}

// sendVideo sends a file at the speed of a slow link. It knows the headers Range and If-Range,
// as servers of files do.
func sendVideo(_ *upstream, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Etag", `"video-1"`)
	body := bytes.Repeat([]byte("induction video "), videoBytes/16)
	http.ServeContent(&pacedWriter{ResponseWriter: w, r: r}, r, "video.mp4", time.Time{}, bytes.NewReader(body))
}

// pacedWriter writes videoBytes in videoSeconds.
type pacedWriter struct {
	http.ResponseWriter
	r *http.Request
}

// Write writes part by part, and stops when the connection has ended.
func (w *pacedWriter) Write(p []byte) (int, error) {
	const part = 32 << 10
	written := 0
	for written < len(p) {
		n, err := w.ResponseWriter.Write(p[written:min(written+part, len(p))])
		written += n
		if err != nil {
			return written, err
		}
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		select {
		case <-w.r.Context().Done():
			return written, w.r.Context().Err()
		case <-time.After(time.Duration(n) * videoSeconds * time.Second / videoBytes):
		}
	}
	return written, nil
}

// runResume downloads files while connections are reset.
func runResume(ctx context.Context, rec *record, dir *os.Root) (bool, error) {
	var upstreams []*upstream
	for range 12 {
		upstreams = append(upstreams, &upstream{id: newID("i-"), service: libraryService, slots: 2, work: serveLibrary})
	}
	w, err := newWorld(ctx, rec, dir, resumeConfig(), upstreams)
	if err != nil {
		return false, err
	}
	runCtx, cancel := context.WithTimeout(ctx, resumeRuntime)
	defer cancel()
	var wg sync.WaitGroup
	sent := newSentRequests()
	for i := range resumeCallers {
		wg.Go(func() { download(runCtx, w, sent, i) })
	}
	for _, g := range w.gateways {
		wg.Go(func() { readLists(runCtx, rec, g) })
	}
	if troubled() {
		wg.Go(func() { resetAtTimes(runCtx, w) })
	}
	wg.Wait()
	return judgeResume(rec, sent)
}

// readLists sends short reads to one gateway.
func readLists(ctx context.Context, rec *record, g *gatewayProcess) {
	client := newClient()
	for ctx.Err() == nil {
		_ = readOnce(ctx, rec, client, read{gateway: g, path: listPrefix + "tools", id: newID(listIDPrefix)})
		time.Sleep(readInterval)
	}
}

// resetAtTimes resets connections of one gateway after the other.
func resetAtTimes(ctx context.Context, w *world) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(resetInterval):
		}
		gateway := w.gateways[rand.IntN(len(w.gateways))].name
		reset, busy := 0, 0
		for _, u := range w.upstreams {
			r, b := u.resetConns(gateway, resetShare)
			reset, busy = reset+r, busy+b
		}
		w.record.add("reset", "gateway=%s connections=%d busy=%d", gateway, reset, busy)
	}
}

// sentRequests holds the greatest number of upstreams of each request.
type sentRequests struct {
	mu     sync.Mutex
	limits map[string]downloadRoute
	ended  map[string]int
}

func newSentRequests() *sentRequests {
	return &sentRequests{limits: make(map[string]downloadRoute), ended: make(map[string]int)}
}

// download downloads one file after the other, each once.
func download(ctx context.Context, w *world, sent *sentRequests, caller int) {
	gateway := w.gateways[caller%len(w.gateways)]
	client := newClient()
	for n := 0; ctx.Err() == nil; n++ {
		route := downloadRoutes()[(caller/len(w.gateways)+n)%2]
		id := newID("")
		sent.mu.Lock()
		sent.limits[id] = route
		sent.mu.Unlock()
		end := readOnce(ctx, w.record, client, read{gateway: gateway, path: route.prefix + "induction", id: id})
		sent.mu.Lock()
		sent.ended[end]++
		sent.mu.Unlock()
	}
}

// read is a read through a gateway.
type read struct {
	gateway  *gatewayProcess
	path, id string
}

// readOnce sends a read and returns how it ended: the status, "closed" or "cut".
func readOnce(ctx context.Context, rec *record, client *http.Client, r read) string {
	rec.add("sent", "request=%s gateway=%s path=%s", r.id, r.gateway.name, r.path)
	end, n := sendRead(ctx, client, r)
	rec.add("answered", "request=%s %s bytes=%d", r.id, end, n)
	return end
}

func sendRead(ctx context.Context, client *http.Client, r read) (end string, n int64) {
	req, err := newRequest(ctx, r.gateway, http.MethodGet, r.path, r.id)
	if err != nil {
		return "unsent", 0
	}
	req.Header.Set(deadlineHeader, "6000")
	resp, err := client.Do(req)
	if err != nil {
		return "closed", 0
	}
	defer func() { _ = resp.Body.Close() }()
	if n, err = io.Copy(io.Discard, resp.Body); err != nil {
		return "cut", n
	}
	return strconv.Itoa(resp.StatusCode), n
}

// judgeResume counts the requests that ran on more upstreams than their route permits.
func judgeResume(rec *record, sent *sentRequests) (bool, error) {
	excess := make(map[string]int)
	total := 0
	for id, upstreams := range rec.upstreamsOf() {
		if strings.HasPrefix(id, listIDPrefix) {
			continue
		}
		route, known := sent.limits[id]
		if !known {
			return false, fmt.Errorf("%w: request %s was not sent", errUnable, id)
		}
		if len(upstreams) > route.attempts {
			excess[route.name]++
			total++
			rec.add("excess", "request=%s route=%s max-attempts=%d upstreams=%d", id, route.name, route.attempts, len(upstreams))
		}
	}
	if sent.ended["200"] == 0 {
		return false, fmt.Errorf("%w: no download was complete: %v", errUnable, sent.ended)
	}
	for _, r := range downloadRoutes() {
		rec.add("result", "route=%s max-attempts=%d requests that ran on more upstreams: %d", r.name, r.attempts, excess[r.name])
	}
	rec.add("result", "ends=%v allowed=%d found=%d", sent.ended, allowedExcess, total)
	return total > allowedExcess, nil
}
