// Package settings parses and validates the INI settings file of a gateway. Each
// setting is defined once, in list.go; the defaults, the validation, the annotated
// example and the table in docs/SETTINGS.md are derived from that definition.
//
// A settings file with any error is rejected as a whole. All errors are reported,
// each with its line, section, key, the value found, the values accepted and a
// result code, so that an operator can fix the file in one pass. Unknown sections
// and keys are errors, so that a misspelled key never silently leaves a default in
// place.
//
// # Usage
//
//	s, problems := settings.Load("gateway.ini")
//	for _, p := range problems {
//		fmt.Println(p)
//	}
package settings

import (
	"reflect"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

// Settings are the settings of one gateway. A Settings is immutable; the With
// methods return modified copies.
type Settings struct {
	// Gateway holds the identity and the addresses of this gateway.
	Gateway Gateway
	// Platform configures the access to the platform.
	Platform Platform
	// Measuring is the budget of load probes.
	Measuring Measuring
	// Peers configures the links between gateways.
	Peers Peers
	// Forwarding configures the calls that gateways forward to each other.
	Forwarding Forwarding
	// Quarantine configures which requests are not sent because servers end under them.
	Quarantine Quarantine
	// Stop configures the graceful shutdown.
	Stop Stop
	// Limits are limits on the size, duration and queueing of calls.
	Limits Limits
	// Retry limits retries and hedges.
	Retry Retry
	// Choice configures the selection of a server for an attempt.
	Choice Choice
	// Zones configures when calls leave the availability zone.
	Zones Zones
	// Headers configures the headers exchanged with callers and servers.
	Headers Headers
	// Log configures logging.
	Log Log

	services []Service
}

// Gateway holds the identity and the addresses of this gateway.
type Gateway struct {
	Name        string
	Zone        string
	Listen      string
	Admin       string
	Peer        string
	PeerListen  string
	Metrics     string
	Incarnation int64
}

// LinkAddress returns the address on which links are accepted.
func (g Gateway) LinkAddress() string {
	if g.PeerListen != "" {
		return g.PeerListen
	}
	return g.Peer
}

// Platform configures the access to the platform. Its rates are shared by all
// gateways.
type Platform struct {
	URL             string
	Kind            string
	FirstStart      bool
	Watch           time.Duration
	Return          time.Duration
	Evacuations     bool
	Timeout         time.Duration
	Poll            time.Duration
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Measuring is the agreed budget of load probes, and their path.
type Measuring struct {
	MessagesPerSecond float64
	BytesPerSecond    float64
	ServerPerSecond   float64
	Path              string
}

// Peers configures the links between gateways.
type Peers struct {
	Seeds     []string
	Across    int
	Heartbeat time.Duration
	Silent    time.Duration
}

// Forwarding configures the calls that gateways forward to each other.
type Forwarding struct {
	Calls    int
	Gateways int
}

// Quarantine configures which requests are not sent because servers end under them.
type Quarantine struct {
	Crashes int
	Retest  time.Duration
}

// Stop configures the graceful shutdown.
type Stop struct {
	Lag   time.Duration
	Grace time.Duration
}

// Limits are limits on the size, duration and queueing of calls.
type Limits struct {
	Deadline    time.Duration
	Progress    time.Duration
	HeaderBytes int
	BodyBytes   int64
	BufferBytes int64
	QueueLength int
	LateLast    bool
}

// Retry limits the retries and hedges that the gateway adds, as shares of the calls.
type Retry struct {
	Window        time.Duration
	Slack         float64
	RetryShare    float64
	HedgeShare    float64
	HedgeQuantile float64
}

// Choice configures the selection of a server for an attempt.
type Choice struct {
	Policy     string
	Ask        int
	EjectShare float64
	SlowStart  time.Duration
}

// Zones configures when calls leave the availability zone, with the policy Survey.
type Zones struct {
	Leave         string
	Price         time.Duration
	KilobytePrice time.Duration
}

// Values of Zones.Leave.
const (
	// LeaveAlways gives servers of all availability zones nearly the same rank.
	LeaveAlways = "Always"
	// LeavePrice prefers the servers of the own zone until leaving it pays for its price.
	LeavePrice = "Price"
)

// Values of Platform.Kind.
const (
	// KindStore is a platform with a store through which the gateways coordinate the
	// rules.
	KindStore = "Store"
	// KindDirectory is a platform that itself accepts the rules and lists VMs.
	KindDirectory = "Directory"
)

// Values of Headers.LoadFormat, the formats of load reports.
const (
	// LoadORCA is the JSON text format of Open Request Cost Aggregation (ORCA).
	LoadORCA = "ORCA"
	// LoadCounts is a list of counts: running requests, waiting requests, slots, and
	// the slowness of the VM in percent.
	LoadCounts = "Counts"
)

// RetryAfterFractions is the value of Headers.RetryAfter that permits fractions of a
// second in Retry-After.
const RetryAfterFractions = "Fractions"

// Headers configures the headers exchanged with callers and servers. An empty name
// means that the header is not used.
type Headers struct {
	RequestID  string
	Caller     string
	Key        string
	Customer   string
	WarmUp     string
	Deadline   string
	Instance   string
	Server     string
	Load       string
	LoadFormat string
	Limit      string
	Leaving    string
	NotRun     string
	Signature  string
	RetryAfter string
}

// Service holds the settings of the endpoint servers of one service.
type Service struct {
	Name         string
	NotRunStatus int
	NotRunHeader string
	Slots        int
	Connections  int
}

// WithDefaults returns a copy of the servers, in which the settings replace slots
// and connections that the platform's list does not state.
func (v Service) WithDefaults(servers []mustardsaddle.Server) []mustardsaddle.Server {
	completed := slices.Clone(servers)
	for i := range completed {
		if completed[i].Slots == 0 {
			completed[i].Slots = v.Slots
		}
		if completed[i].Connections == 0 {
			completed[i].Connections = v.Connections
		}
	}
	return completed
}

// Log configures logging.
type Log struct {
	Level      string
	RouteLines string
}

// Default returns the default settings. Settings without a default are empty.
func Default() Settings {
	var s Settings
	for _, item := range gatewayList() {
		if !item.Required {
			item.set(&s, item.Default)
		}
	}
	return s
}

// defaultService returns the default settings of a service.
func defaultService(name string) Service {
	v := Service{Name: name}
	for _, item := range serviceList() {
		item.set(&v, item.Default)
	}
	return v
}

// Service returns the settings of a service, or the defaults if it has no section.
func (s Settings) Service(name string) Service {
	for _, v := range s.services {
		if v.Name == name {
			return v
		}
	}
	return defaultService(name)
}

// Services returns the services that have a section, in file order.
func (s Settings) Services() []Service {
	return slices.Clone(s.services)
}

// WithService returns a copy of s with v added, or replacing the service of the same
// name.
func (s Settings) WithService(v Service) Settings {
	services := slices.Clone(s.services)
	i := slices.IndexFunc(services, func(old Service) bool { return old.Name == v.Name })
	if i < 0 {
		services = append(services, v)
	} else {
		services[i] = v
	}
	s.services = services
	return s
}

// WithGateway returns a copy of s with the given gateway settings.
func (s Settings) WithGateway(g Gateway) Settings {
	s.Gateway = g
	return s
}

// WithPlatform returns a copy of s with the given platform settings.
func (s Settings) WithPlatform(p Platform) Settings {
	s.Platform = p
	return s
}

// WithMeasuring returns a copy of s with the given budget of load probes.
func (s Settings) WithMeasuring(m Measuring) Settings {
	s.Measuring = m
	return s
}

// WithRetry returns a copy of s with the given retry settings.
func (s Settings) WithRetry(r Retry) Settings {
	s.Retry = r
	return s
}

// WithStop returns a copy of s with the given shutdown settings.
func (s Settings) WithStop(stop Stop) Settings {
	s.Stop = stop
	return s
}

// ChangedSections returns the names of the sections in which s differs from old.
func (s Settings) ChangedSections(old Settings) []string {
	sections := []struct {
		name     string
		new, old any
	}{
		{sectionGateway, s.Gateway, old.Gateway},
		{sectionPlatform, s.Platform, old.Platform},
		{sectionMeasuring, s.Measuring, old.Measuring},
		{sectionPeers, s.Peers, old.Peers},
		{sectionForwarding, s.Forwarding, old.Forwarding},
		{sectionQuarantine, s.Quarantine, old.Quarantine},
		{sectionStop, s.Stop, old.Stop},
		{sectionLimits, s.Limits, old.Limits},
		{sectionRetry, s.Retry, old.Retry},
		{sectionChoice, s.Choice, old.Choice},
		{sectionZones, s.Zones, old.Zones},
		{sectionHeaders, s.Headers, old.Headers},
		{sectionLog, s.Log, old.Log},
		{sectionService, s.services, old.services},
	}
	changed := []string{}
	for _, section := range sections {
		if !reflect.DeepEqual(section.new, section.old) {
			changed = append(changed, section.name)
		}
	}
	return changed
}
