package settings

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
)

// Info documents one setting.
type Info struct {
	// Section is the name of the section; "Service NAME" stands for one section per
	// service.
	Section string
	// Key is the name of the setting.
	Key string
	// Default is the value used if the file does not state the setting.
	Default string
	// Required is true when the file must state the setting.
	Required bool
	// Accepts states the accepted values and their unit.
	Accepts string
	// Description states the effect of the setting.
	Description string
	// Example is the value shown in the annotated example.
	Example string
}

// setting is a setting stored in a T, which is Settings or Service.
type setting[T any] struct {
	Info
	// set parses and stores a value. It returns false if the value is not accepted.
	set func(target *T, value string) bool
}

// Names of the sections of a settings file.
const (
	sectionGateway    = "Gateway"
	sectionPlatform   = "Platform"
	sectionMeasuring  = "Measuring"
	sectionPeers      = "Peers"
	sectionForwarding = "Forwarding"
	sectionQuarantine = "Quarantine"
	sectionStop       = "Stop"
	sectionLimits     = "Limits"
	sectionRetry      = "Retry"
	sectionChoice     = "Choice"
	sectionZones      = "Zones"
	sectionHeaders    = "Headers"
	sectionLog        = "Log"
	sectionService    = "Service NAME"
)

// Upper limits shared by several settings.
const (
	maxPerSecond = 100000
	maxQueue     = 1 << 20
	maxDuration  = time.Hour
)

// List describes every setting, in the order of the annotated example.
func List() []Info {
	var infos []Info
	for _, item := range gatewayList() {
		infos = append(infos, item.Info)
	}
	for _, item := range serviceList() {
		infos = append(infos, item.Info)
	}
	return infos
}

// gatewayList returns the settings outside the service sections.
func gatewayList() []setting[Settings] {
	var list []setting[Settings]
	list = append(list, identityList()...)
	list = append(list, platformList()...)
	list = append(list, peerList()...)
	list = append(list, limitList()...)
	list = append(list, choiceList()...)
	list = append(list, zoneList()...)
	list = append(list, headerList()...)
	return list
}

func identityList() []setting[Settings] {
	return []setting[Settings]{
		required(name(sectionGateway, "Name", "", "Unique name of this gateway.",
			func(s *Settings) *string { return &s.Gateway.Name }), "gateway-1"),
		required(name(sectionGateway, "Zone", "", "Availability zone of this gateway.",
			func(s *Settings) *string { return &s.Gateway.Zone }), "zone-a"),
		address(sectionGateway, "Listen", "0.0.0.0:8080", "Address on which calls are accepted.",
			func(s *Settings) *string { return &s.Gateway.Listen }),
		address(sectionGateway, "Admin", "127.0.0.1:8081", "Address of the admin interface for operators and the platform's load balancer: health, readiness, rules, metrics.",
			func(s *Settings) *string { return &s.Gateway.Admin }),
		required(advertisedAddress(sectionGateway, "Peer", "Address that this gateway advertises to other gateways, which dial it for links.",
			func(s *Settings) *string { return &s.Gateway.Peer }), "10.0.0.7:8082"),
		optionalAddress(sectionGateway, "PeerListen", "Address on which links are accepted, if it differs from Peer, for example behind network address translation.",
			func(s *Settings) *string { return &s.Gateway.PeerListen }),
		optionalAddress(sectionGateway, "Metrics", "Additional address for the metrics page alone, for collectors that need the same port on each VM. The gateway starts without it if it is taken.",
			func(s *Settings) *string { return &s.Gateway.Metrics }),
		integer(sectionGateway, "Incarnation", "0", 0, mustardsaddle.MaxIncarnation, "starts",
			"Incarnation number of this gateway, which must increase with each start; 0 means the start time in milliseconds.",
			func(s *Settings) *int64 { return &s.Gateway.Incarnation }),
	}
}

func platformList() []setting[Settings] {
	return []setting[Settings]{
		required(httpURL(sectionPlatform, "URL", "Base URL of the platform's store and VM list.",
			func(s *Settings) *string { return &s.Platform.URL }), "http://127.0.0.1:7000"),
		oneOf(sectionPlatform, "Kind", KindStore, []string{KindStore, KindDirectory},
			"Store: the gateways coordinate the rules through the platform's store. Directory: the platform itself accepts rules and lists VMs.",
			func(s *Settings) *string { return &s.Platform.Kind }),
		flag(sectionPlatform, "FirstStart", flagNo, "Whether all gateways start for the first time, so that none finds another in a Directory. They register first, and ask each other before they read it.",
			func(s *Settings) *bool { return &s.Platform.FirstStart }),
		duration(sectionPlatform, "Watch", "1200ms", 100*time.Millisecond, time.Minute,
			"Timeout of one watch of a Directory, which limits how long a stalled watch goes undetected.",
			func(s *Settings) *time.Duration { return &s.Platform.Watch }),
		duration(sectionPlatform, "Return", "2s", 0, time.Minute,
			"Time after an outage of a Directory during which an endpoint server missing from its list is still used.",
			func(s *Settings) *time.Duration { return &s.Platform.Return }),
		flag(sectionPlatform, "Evacuations", flagNo,
			"Whether a Directory lists evacuated availability zones. Yes: the gateway follows the list, and uses no endpoint server before it knows it.",
			func(s *Settings) *bool { return &s.Platform.Evacuations }),
		duration(sectionPlatform, "Timeout", "2s", 10*time.Millisecond, time.Minute,
			"Timeout of one call to the platform, except for watches, until its response begins, and then for each part of the response.",
			func(s *Settings) *time.Duration { return &s.Platform.Timeout }),
		duration(sectionPlatform, "Poll", "2s", 100*time.Millisecond, time.Minute,
			"Mean interval between reads of the rules and the VM list when no watch or peer delivers updates; jittered.",
			func(s *Settings) *time.Duration { return &s.Platform.Poll }),
		number(sectionPlatform, "ReadsPerSecond", "1000", 1, maxPerSecond, "calls per second",
			"Maximum rate of reads and watches of all gateways combined; each uses its share.",
			func(s *Settings) *float64 { return &s.Platform.ReadsPerSecond }),
		number(sectionPlatform, "WritesPerSecond", "100", 1, maxPerSecond, "calls per second",
			"Maximum rate of writes of all gateways combined; each uses its share.",
			func(s *Settings) *float64 { return &s.Platform.WritesPerSecond }),
		number(sectionMeasuring, "MessagesPerSecond", "20", 0, maxPerSecond, "messages per second",
			"Maximum combined rate of load probes and load queries that this gateway sends; 0 sends none.",
			func(s *Settings) *float64 { return &s.Measuring.MessagesPerSecond }),
		number(sectionMeasuring, "BytesPerSecond", "8192", 0, 1<<30, "bytes per second",
			"Maximum bandwidth of load probes, load queries and their responses, by estimated size; 0 sends none.",
			func(s *Settings) *float64 { return &s.Measuring.BytesPerSecond }),
		number(sectionMeasuring, "ServerPerSecond", "2", 0, maxPerSecond, "messages per second",
			"Maximum rate of load probes, and separately of load queries (averaged over a service's servers), that one endpoint server receives from all gateways combined; 0 sends at most one probe per hour and no load queries.",
			func(s *Settings) *float64 { return &s.Measuring.ServerPerSecond }),
		urlPath(sectionMeasuring, "Path", "/load", "Path of the load probe on endpoint servers.",
			func(s *Settings) *string { return &s.Measuring.Path }),
	}
}

func peerList() []setting[Settings] {
	return []setting[Settings]{
		addresses(sectionPeers, "Seeds", "Peer addresses that this gateway dials while no other gateway is known, so that it can start while the store is down.",
			func(s *Settings) *[]string { return &s.Peers.Seeds }),
		integer(sectionPeers, "Across", "2", 1, 16, "links",
			"Average number of links to gateways in other availability zones, in addition to those in its own zone.",
			func(s *Settings) *int { return &s.Peers.Across }),
		duration(sectionPeers, "Heartbeat", "500ms", 10*time.Millisecond, time.Minute,
			"Interval between heartbeats on a link.",
			func(s *Settings) *time.Duration { return &s.Peers.Heartbeat }),
		duration(sectionPeers, "Silent", "2s", 20*time.Millisecond, 5*time.Minute,
			"Time without received data after which a link is closed and dialed again; must be longer than Heartbeat.",
			func(s *Settings) *time.Duration { return &s.Peers.Silent }),
		integer(sectionForwarding, "Gateways", "2", 0, 16, "gateways",
			"Maximum number of other gateways to which a call that this gateway cannot send to a server is forwarded, one after another; 0 forwards no call.",
			func(s *Settings) *int { return &s.Forwarding.Gateways }),
		integer(sectionForwarding, "Calls", "256", 0, 1<<20, "calls",
			"Maximum number of calls in flight that this gateway takes from other gateways; 0 takes none.",
			func(s *Settings) *int { return &s.Forwarding.Calls }),
		integer(sectionQuarantine, "Crashes", "3", 0, mustardsaddle.MaxSuspicionCrashes, "servers",
			"Number of servers that end while they run a request, without a complete response to it in between, after which no gateway sends the request; 0 sends every request.",
			func(s *Settings) *int { return &s.Quarantine.Crashes }),
		duration(sectionQuarantine, "Retest", "10s", time.Second, maxDuration,
			"Time after which one gateway sends such a request once more, to find out whether servers still end; a second time follows after 30 times as long.",
			func(s *Settings) *time.Duration { return &s.Quarantine.Retest }),
		duration(sectionStop, "Lag", "2s", 0, 10*time.Minute,
			"Time that a stopping gateway still accepts connections while the platform's load balancer removes it from rotation; with a Grace, at most half of that.",
			func(s *Settings) *time.Duration { return &s.Stop.Lag }),
		duration(sectionStop, "Grace", "0s", 0, time.Hour,
			"Time after which the platform kills a stopping gateway. After Lag, calls that may last longer are refused; those still running shortly before are ended with a response. 0s means that it never does.",
			func(s *Settings) *time.Duration { return &s.Stop.Grace }),
	}
}

func limitList() []setting[Settings] {
	return []setting[Settings]{
		duration(sectionLimits, "Deadline", "10s", time.Millisecond, maxDuration,
			"Deadline of a call whose rule states none.",
			func(s *Settings) *time.Duration { return &s.Limits.Deadline }),
		duration(sectionLimits, "Progress", "15s", 10*time.Millisecond, maxDuration,
			"Longest time without transferring a byte of a body, and longest time to receive a request header.",
			func(s *Settings) *time.Duration { return &s.Limits.Progress }),
		integer(sectionLimits, "HeaderBytes", "65536", 1024, 16<<20, "bytes",
			"Maximum size of the header of a request or a response.",
			func(s *Settings) *int { return &s.Limits.HeaderBytes }),
		integer(sectionLimits, "BodyBytes", "1073741824", 0, 1<<50, "bytes",
			"Maximum size of a request body.",
			func(s *Settings) *int64 { return &s.Limits.BodyBytes }),
		integer(sectionLimits, "BufferBytes", "33554432", 4<<20, 1<<40, "bytes",
			"Maximum memory of all calls together for parts of messages that are kept: half for large headers of responses, a quarter each for responses of unknown length to callers on HTTP/1.0 and for request bodies that may be sent again.",
			func(s *Settings) *int64 { return &s.Limits.BufferBytes }),
		integer(sectionLimits, "QueueLength", "64", 0, maxQueue, "calls",
			"Maximum number of calls of one service that are queued in this gateway for a server; 0 refuses them immediately.",
			func(s *Settings) *int { return &s.Limits.QueueLength }),
		flag(sectionLimits, "LateLast", flagNo, "Whether a call that can no longer meet its Target, counted from the caller's first try, is refused while others that still can find no server. The wait that callers usually state in the header Deadline shows which calls are late.",
			func(s *Settings) *bool { return &s.Limits.LateLast }),
		number(sectionRetry, "RetryShare", "0.2", 0, 1, "a share of the calls",
			"Maximum share of retries, which bounds the load that failures add; 0 disables retries.",
			func(s *Settings) *float64 { return &s.Retry.RetryShare }),
		duration(sectionRetry, "Window", "10s", 100*time.Millisecond, maxDuration,
			"Time window over which retries and hedges are counted in proportion to the calls.",
			func(s *Settings) *time.Duration { return &s.Retry.Window }),
		number(sectionRetry, "Slack", "200", 0, maxPerSecond, "attempts",
			"Number of retries and hedges in a window that all gateways combined may send beyond the share; each uses its part.",
			func(s *Settings) *float64 { return &s.Retry.Slack }),
		number(sectionRetry, "HedgeShare", "0.05", 0, 1, "a share of the calls",
			"Maximum share of hedges, which are second attempts of slow idempotent calls; 0 disables hedging.",
			func(s *Settings) *float64 { return &s.Retry.HedgeShare }),
		number(sectionRetry, "HedgeQuantile", "0.95", 0.5, 0.999, "a quantile of the latency",
			"A call slower than this quantile of its service's latency may be hedged.",
			func(s *Settings) *float64 { return &s.Retry.HedgeQuantile }),
	}
}

func choiceList() []setting[Settings] {
	return []setting[Settings]{
		oneOf(sectionChoice, "Policy", "Default", policies(), "Load balancing policy; Default is the one that performed best in the comparison in docs/MEASUREMENTS.md.",
			func(s *Settings) *string { return &s.Choice.Policy }),
		integer(sectionChoice, "Ask", "8", 1, 64, "servers",
			"Number of endpoint servers that the policy Survey queries for their load just before a call is sent.",
			func(s *Settings) *int { return &s.Choice.Ask }),
		number(sectionChoice, "EjectShare", "0.3", 0, 0.9, "a share of the servers",
			"Maximum share of the servers of one service that may be ejected at the same time for errors or slowness.",
			func(s *Settings) *float64 { return &s.Choice.EjectShare }),
		duration(sectionChoice, "SlowStart", "5s", 0, maxDuration,
			"Time over which the load of a new server ramps up.",
			func(s *Settings) *time.Duration { return &s.Choice.SlowStart }),
		oneOf(sectionLog, "Level", "info", []string{"debug", "info", "warn", "error"}, "Minimum level that is logged.",
			func(s *Settings) *string { return &s.Log.Level }),
		oneOf(sectionLog, "RouteLines", "All", []string{"All"}, "Routing decisions that are logged.",
			func(s *Settings) *string { return &s.Log.RouteLines }),
	}
}

func zoneList() []setting[Settings] {
	return []setting[Settings]{
		oneOf(sectionZones, "Leave", LeaveAlways, []string{LeaveAlways, LeavePrice},
			"When calls go to servers of other availability zones, with the policy Survey. Always: servers of all zones count nearly the same. Price: only if the call is expected to end earlier there by more than Price and KilobytePrice.",
			func(s *Settings) *string { return &s.Zones.Leave }),
		duration(sectionZones, "Price", "15ms", 0, time.Minute,
			"Time that a call may lose in its own zone before leaving it pays.",
			func(s *Settings) *time.Duration { return &s.Zones.Price }),
		duration(sectionZones, "KilobytePrice", "5ms", 0, time.Minute,
			"Further time for each kilobyte (1000 bytes) that requests and responses of the service usually have.",
			func(s *Settings) *time.Duration { return &s.Zones.KilobytePrice }),
	}
}

// policies returns the names of the load balancing policies.
func policies() []string {
	return []string{"Default", "RoundRobin", "TwoChoices", "HotCold", "PreferredSpill", PolicySurvey}
}

// PolicySurvey is the policy that queries servers for their load just before a call
// is sent.
const PolicySurvey = "Survey"

// headerList returns the settings of the headers exchanged with callers and servers.
func headerList() []setting[Settings] {
	return []setting[Settings]{
		headerName(sectionHeaders, "RequestID", "", "Header that carries the request ID of the caller, and in a response the ID of the request that it answers.",
			func(s *Settings) *string { return &s.Headers.RequestID }),
		headerName(sectionHeaders, "Caller", "", "Header that names the caller, set by the platform and not by callers themselves. Requests of different callers count as different ones when a request makes servers end.",
			func(s *Settings) *string { return &s.Headers.Caller }),
		headerName(sectionHeaders, "Key", "", "Header in which a caller sends the key of its customer, if the rules name customers. It is not sent to servers.",
			func(s *Settings) *string { return &s.Headers.Key }),
		headerName(sectionHeaders, "Customer", "Mustardsaddle-Customer", "Header that tells a server the name of the customer, if the rules name customers.",
			func(s *Settings) *string { return &s.Headers.Customer }),
		headerName(sectionHeaders, "WarmUp", "", "Header in which a server states for how many milliseconds it is still warming up.",
			func(s *Settings) *string { return &s.Headers.WarmUp }),
		headerName(sectionHeaders, "Deadline", "Mustardsaddle-Deadline", "Header that carries the remaining time until the deadline in milliseconds, from callers and to servers.",
			func(s *Settings) *string { return &s.Headers.Deadline }),
		headerName(sectionHeaders, "Instance", "", "Header that names the server that a request is intended for; any other server responds with 421.",
			func(s *Settings) *string { return &s.Headers.Instance }),
		headerName(sectionHeaders, "Server", "", "Header in which a server names itself in its response.",
			func(s *Settings) *string { return &s.Headers.Server }),
		headerName(sectionHeaders, "Load", "Endpoint-Load-Metrics", "Header in which servers report their load.",
			func(s *Settings) *string { return &s.Headers.Load }),
		oneOf(sectionHeaders, "LoadFormat", LoadORCA, []string{LoadORCA, LoadCounts},
			"Format of load reports. Counts: running requests, waiting requests and slots, followed by the slowness of the VM in percent, if known.",
			func(s *Settings) *string { return &s.Headers.LoadFormat }),
		headerName(sectionHeaders, "Limit", "Endpoint-Limit", "Header in which a server states how many requests per second it takes from all gateways combined, for as long as its responses have the header.",
			func(s *Settings) *string { return &s.Headers.Limit }),
		headerName(sectionHeaders, "Leaving", "Endpoint-Leaving", "Header in which a server states with the value 1 that it is leaving and takes no new requests.",
			func(s *Settings) *string { return &s.Headers.Leaving }),
		headerName(sectionHeaders, "NotRun", "", "Header with which servers of any service declare, with any status, that a request was not executed.",
			func(s *Settings) *string { return &s.Headers.NotRun }),
		headerName(sectionHeaders, "Signature", "", "Header that every successful response of a server has; a response without it is not forwarded.",
			func(s *Settings) *string { return &s.Headers.Signature }),
		oneOf(sectionHeaders, "RetryAfter", "Seconds", []string{"Seconds", RetryAfterFractions},
			"Whether Retry-After has whole seconds or fractions of a second, which only callers that support them understand.",
			func(s *Settings) *string { return &s.Headers.RetryAfter }),
	}
}

// serviceList returns the settings of a service section.
func serviceList() []setting[Service] {
	return []setting[Service]{
		notRunStatus("NotRunStatus",
			"Status with which the service's servers declare, together with NotRunHeader, that a request was not executed; 0 means that they never do.",
			func(v *Service) *int { return &v.NotRunStatus }),
		headerName(sectionService, "NotRunHeader", "", "Header that must accompany NotRunStatus to declare that a request was not executed.",
			func(v *Service) *string { return &v.NotRunHeader }),
		integer(sectionService, "Slots", "2", 1, 1<<16, "requests",
			"Number of requests that one server runs concurrently, if the platform's list does not state it.",
			func(v *Service) *int { return &v.Slots }),
		integer(sectionService, "Connections", "200", 1, 1<<20, "connections",
			"Maximum number of open connections that one server accepts, if the platform's list does not state it.",
			func(v *Service) *int { return &v.Connections }),
	}
}
