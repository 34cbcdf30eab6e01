package main

// Values that the configurations of the cases share.
const (
	callerHost = "shed.example"
	// bookingPrefix is the path of bookings, and bookingService the service that runs them.
	bookingPrefix  = "/bookings/"
	bookingService = "shedbook"
	// routeUnsafe, routeSafe and routeDownload are kinds of routes.
	routeUnsafe   = "unsafe"
	routeSafe     = "safe"
	routeDownload = "download"
)

// configSpec is the operator's configuration.
type configSpec struct {
	Version  string                 `cbor:"version"`
	Routes   map[string]routeSpec   `cbor:"routes"`
	Services map[string]serviceSpec `cbor:"services"`
	Limits   limitsSpec             `cbor:"limits"`
}

// routeSpec is one route of the configuration.
type routeSpec struct {
	Host       string `cbor:"host"`
	PathPrefix string `cbor:"path-prefix"`
	Kind       string `cbor:"kind"`
	Timeout    string `cbor:"timeout"`
	Target     string `cbor:"target-latency"`
	Priority   int    `cbor:"priority"`
	Service    string `cbor:"service"`
	Attempts   int    `cbor:"max-attempts"`
}

// serviceSpec is one service of the configuration.
type serviceSpec struct {
	HealthPath  string `cbor:"health-path"`
	Connections int    `cbor:"max-connections"`
	Protocol    string `cbor:"protocol"`
	TLS         bool   `cbor:"tls"`
}

// limitsSpec bounds what callers may send.
type limitsSpec struct {
	HeaderBytes int    `cbor:"max-header-bytes"`
	BodyBytes   int    `cbor:"max-body-bytes"`
	Header      string `cbor:"header-timeout"`
	Idle        string `cbor:"idle-timeout"`
}

// newConfig returns a configuration with usual limits.
func newConfig(version string, routes map[string]routeSpec, services ...string) configSpec {
	c := configSpec{
		Version: version, Routes: routes, Services: make(map[string]serviceSpec),
		Limits: limitsSpec{HeaderBytes: 16384, BodyBytes: 64 << 20, Header: "3000ms", Idle: "15000ms"},
	}
	for _, name := range services {
		c.Services[name] = serviceSpec{HealthPath: healthPath, Connections: 220, Protocol: "h1"}
	}
	return c
}

// bookingRoutes returns one route for bookings, which run at most once.
func bookingRoutes(service, timeout string) map[string]routeSpec {
	return map[string]routeSpec{"r-bookings": {
		Host: callerHost, PathPrefix: bookingPrefix, Kind: routeUnsafe, Timeout: timeout, Target: "400ms", Priority: 1, Service: service, Attempts: 2,
	}}
}
