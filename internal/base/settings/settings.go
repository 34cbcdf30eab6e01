// Package settings reads and checks the INI settings of a gateway. Every
// setting is described once, in list.go; the defaults, the check, the annotated
// example and the table in docs/SETTINGS.md all follow from that description.
//
// A settings file is refused as a whole if it has one mistake. Every mistake is
// listed, each with its line, section, key, what was found, what is wanted and
// a result code, so that an operator mends the file in one go. Unknown sections
// and keys are mistakes: a misspelt key never silently leaves a default.
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
// methods return changed copies.
type Settings struct {
	// Gateway identifies this gateway and its addresses.
	Gateway Gateway
	// Platform says how to reach the platform.
	Platform Platform
	// Measuring is the agreed budget of load probes.
	Measuring Measuring
	// Peers says how gateways keep links with each other.
	Peers Peers
	// Stop says how a graceful stop goes.
	Stop Stop
	// Limits bound what a caller may send and how long a call may take.
	Limits Limits
	// Retry bounds the attempts that the gateway adds to a call.
	Retry Retry
	// Choice says how a server is chosen for an attempt.
	Choice Choice
	// Headers name what callers and servers say in headers.
	Headers Headers
	// Log says what is logged.
	Log Log

	services []Service
}

// Gateway identifies this gateway and its addresses.
type Gateway struct {
	Name        string
	Zone        string
	Listen      string
	Admin       string
	Peer        string
	PeerListen  string
	Incarnation int64
}

// LinkAddress returns the address on which links are accepted.
func (g Gateway) LinkAddress() string {
	if g.PeerListen != "" {
		return g.PeerListen
	}
	return g.Peer
}

// Platform says how to reach the platform. The rates are those of the whole
// fleet of gateways.
type Platform struct {
	URL             string
	Kind            string
	Watch           time.Duration
	Return          time.Duration
	Timeout         time.Duration
	Poll            time.Duration
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Measuring is the agreed budget of load probes.
type Measuring struct {
	MessagesPerSecond float64
	BytesPerSecond    float64
	ServerPerSecond   float64
	Path              string
}

// Peers says how gateways keep links with each other.
type Peers struct {
	Seeds     []string
	Across    int
	Heartbeat time.Duration
	Silent    time.Duration
}

// Stop says how a graceful stop goes.
type Stop struct {
	Lag   time.Duration
	Grace time.Duration
}

// Limits bound what a caller may send and how long a call may take.
type Limits struct {
	Deadline    time.Duration
	Progress    time.Duration
	HeaderBytes int
	BodyBytes   int64
	QueueLength int
}

// Retry bounds the attempts that the gateway adds to a call, as shares of the
// calls.
type Retry struct {
	Window        time.Duration
	Slack         float64
	RetryShare    float64
	HedgeShare    float64
	HedgeQuantile float64
}

// Choice says how a server is chosen for an attempt.
type Choice struct {
	Policy     string
	Ask        int
	EjectShare float64
	SlowStart  time.Duration
}

// Kinds of platforms.
const (
	// KindStore is a store in which the gateways agree on the rules.
	KindStore = "Store"
	// KindDirectory is a platform that accepts the rules by itself.
	KindDirectory = "Directory"
)

// Formats of load reports.
const (
	// LoadORCA is the JSON text form of the Open Request Cost Aggregation format.
	LoadORCA = "ORCA"
	// LoadCounts is a list of counts: running, waiting, slots, slowness in percent.
	LoadCounts = "Counts"
)

// RetryAfterFractions lets Retry-After have a fraction of a second.
const RetryAfterFractions = "Fractions"

// Headers names what callers and servers say in headers. An empty name means that
// they do not say it.
type Headers struct {
	RequestID  string
	Deadline   string
	Instance   string
	Server     string
	Load       string
	LoadFormat string
	NotRun     string
	Signature  string
	RetryAfter string
}

// Service describes the endpoint servers of one service.
type Service struct {
	Name         string
	NotRunStatus int
	NotRunHeader string
	Slots        int
	Connections  int
}

// Complete returns the servers of the service, with the settings in place of
// slots and connections that the platform's list does not state.
func (v Service) Complete(servers []mustardsaddle.Server) []mustardsaddle.Server {
	complete := slices.Clone(servers)
	for i := range complete {
		if complete[i].Slots == 0 {
			complete[i].Slots = v.Slots
		}
		if complete[i].Connections == 0 {
			complete[i].Connections = v.Connections
		}
	}
	return complete
}

// Log says what is logged.
type Log struct {
	Level      string
	RouteLines string
}

// Default returns the settings that apply where a file says nothing. Settings
// without a default are empty.
func Default() Settings {
	var s Settings
	for _, item := range gatewayList() {
		if !item.Required {
			item.set(&s, item.Default)
		}
	}
	return s
}

// defaultService returns the service settings that apply where a file says
// nothing.
func defaultService(name string) Service {
	v := Service{Name: name}
	for _, item := range serviceList() {
		item.set(&v, item.Default)
	}
	return v
}

// Service returns the settings of a service: those of its section, or the
// defaults if it has none.
func (s Settings) Service(name string) Service {
	for _, v := range s.services {
		if v.Name == name {
			return v
		}
	}
	return defaultService(name)
}

// Services returns the services that have a section, in the file's order.
func (s Settings) Services() []Service {
	return slices.Clone(s.services)
}

// WithService returns a copy of s in which v replaces the service of its name.
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

// WithGateway returns a copy of s with the given identity and addresses.
func (s Settings) WithGateway(g Gateway) Settings {
	s.Gateway = g
	return s
}

// WithPlatform returns a copy of s with the given platform.
func (s Settings) WithPlatform(p Platform) Settings {
	s.Platform = p
	return s
}

// WithMeasuring returns a copy of s with the given budget of load probes.
func (s Settings) WithMeasuring(m Measuring) Settings {
	s.Measuring = m
	return s
}

// WithRetry returns a copy of s with the given bounds of retries.
func (s Settings) WithRetry(r Retry) Settings {
	s.Retry = r
	return s
}

// WithStop returns a copy of s with the given way to stop.
func (s Settings) WithStop(stop Stop) Settings {
	s.Stop = stop
	return s
}

// Changed returns the sections in which s differs from old.
func (s Settings) Changed(old Settings) []string {
	sections := []struct {
		name     string
		new, old any
	}{
		{sectionGateway, s.Gateway, old.Gateway},
		{sectionPlatform, s.Platform, old.Platform},
		{sectionMeasuring, s.Measuring, old.Measuring},
		{sectionPeers, s.Peers, old.Peers},
		{sectionStop, s.Stop, old.Stop},
		{sectionLimits, s.Limits, old.Limits},
		{sectionRetry, s.Retry, old.Retry},
		{sectionChoice, s.Choice, old.Choice},
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
