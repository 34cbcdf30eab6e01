package settings

import "time"

// Info describes one setting for readers.
type Info struct {
	// Section is the section's name; "Service NAME" is repeated per service.
	Section string
	// Key is the name of the setting.
	Key string
	// Default is the value that applies where a file says nothing.
	Default string
	// Required is true when the file must state the setting.
	Required bool
	// Want says which values are accepted, with the unit.
	Want string
	// Meaning says what the setting does.
	Meaning string
	// Example is the value that the annotated example shows.
	Example string
}

// setting is one setting of a T, which is Settings or Service.
type setting[T any] struct {
	Info
	// parse stores the value, and returns false if it isn't as wanted.
	set func(target *T, value string) bool
}

// Sections of a settings file.
const (
	sectionGateway   = "Gateway"
	sectionPlatform  = "Platform"
	sectionMeasuring = "Measuring"
	sectionPeers     = "Peers"
	sectionStop      = "Stop"
	sectionLimits    = "Limits"
	sectionRetry     = "Retry"
	sectionChoice    = "Choice"
	sectionHeaders   = "Headers"
	sectionLog       = "Log"
	sectionService   = "Service NAME"
)

// Bounds that several settings share.
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

// gatewayList describes the settings outside the service sections.
func gatewayList() []setting[Settings] {
	var list []setting[Settings]
	list = append(list, identityList()...)
	list = append(list, platformList()...)
	list = append(list, peerList()...)
	list = append(list, limitList()...)
	list = append(list, choiceList()...)
	list = append(list, headerList()...)
	return list
}

func identityList() []setting[Settings] {
	return []setting[Settings]{
		required(name(sectionGateway, "Name", "", "Name of this gateway; no two gateways share one.",
			func(s *Settings) *string { return &s.Gateway.Name }), "gateway-1"),
		required(name(sectionGateway, "Zone", "", "Availability zone of this gateway.",
			func(s *Settings) *string { return &s.Gateway.Zone }), "zone-a"),
		address(sectionGateway, "Listen", "0.0.0.0:8080", "Address for callers.",
			func(s *Settings) *string { return &s.Gateway.Listen }),
		address(sectionGateway, "Admin", "127.0.0.1:8081", "Address for operators and the platform's balancer: health, readiness, rules, metrics.",
			func(s *Settings) *string { return &s.Gateway.Admin }),
		required(ownAddress(sectionGateway, "Peer", "Address for links from other gateways, which learn it from here and dial it.",
			func(s *Settings) *string { return &s.Gateway.Peer }), "10.0.0.7:8082"),
		optionalAddress(sectionGateway, "PeerListen", "Address on which links are accepted, if it is not Peer, as behind an address translation.",
			func(s *Settings) *string { return &s.Gateway.PeerListen }),
		integer(sectionGateway, "Incarnation", "0", 0, 1<<62, "starts",
			"Number of this life of the VM, which must grow with each start; 0 means the start time in milliseconds.",
			func(s *Settings) *int64 { return &s.Gateway.Incarnation }),
	}
}

func platformList() []setting[Settings] {
	return []setting[Settings]{
		required(httpURL(sectionPlatform, "URL", "Base address of the platform's store and list of VMs.",
			func(s *Settings) *string { return &s.Platform.URL }), "http://127.0.0.1:7000"),
		oneOf(sectionPlatform, "Kind", KindStore, []string{KindStore, KindDirectory},
			"Store: the gateways agree on rules in the platform's store. Directory: the platform accepts rules and lists VMs by itself.",
			func(s *Settings) *string { return &s.Platform.Kind }),
		duration(sectionPlatform, "Watch", "1200ms", 100*time.Millisecond, time.Minute,
			"Longest wait of one watch of a Directory, which bounds how long a watch that fell silent goes unnoticed.",
			func(s *Settings) *time.Duration { return &s.Platform.Watch }),
		duration(sectionPlatform, "Return", "2s", 0, time.Minute,
			"Time after an outage of a Directory in which an endpoint server is still used that its list lacks.",
			func(s *Settings) *time.Duration { return &s.Platform.Return }),
		duration(sectionPlatform, "Timeout", "2s", 10*time.Millisecond, time.Minute,
			"Longest wait for one call to the platform, apart from watches.",
			func(s *Settings) *time.Duration { return &s.Platform.Timeout }),
		duration(sectionPlatform, "Poll", "2s", 100*time.Millisecond, time.Minute,
			"Mean time between reads of the rules and the list of VMs when no watch or peer brings news; jittered.",
			func(s *Settings) *time.Duration { return &s.Platform.Poll }),
		number(sectionPlatform, "ReadsPerSecond", "1000", 1, maxPerSecond, "calls a second",
			"Reads and watches that all gateways together may spend; each takes its share.",
			func(s *Settings) *float64 { return &s.Platform.ReadsPerSecond }),
		number(sectionPlatform, "WritesPerSecond", "100", 1, maxPerSecond, "calls a second",
			"Writes that all gateways together may spend; each takes its share.",
			func(s *Settings) *float64 { return &s.Platform.WritesPerSecond }),
		number(sectionMeasuring, "MessagesPerSecond", "20", 0, maxPerSecond, "messages a second",
			"Load probes that this gateway may send; 0 sends none.",
			func(s *Settings) *float64 { return &s.Measuring.MessagesPerSecond }),
		number(sectionMeasuring, "BytesPerSecond", "8192", 0, 1<<30, "bytes a second",
			"Bytes of load probes and their answers; 0 sends none.",
			func(s *Settings) *float64 { return &s.Measuring.BytesPerSecond }),
		number(sectionMeasuring, "ServerPerSecond", "2", 0, maxPerSecond, "messages a second",
			"Load probes that one endpoint server may receive from all gateways together; 0 sends one an hour at most.",
			func(s *Settings) *float64 { return &s.Measuring.ServerPerSecond }),
		urlPath(sectionMeasuring, "Path", "/load", "Path of the load probe on endpoint servers.",
			func(s *Settings) *string { return &s.Measuring.Path }),
	}
}

func peerList() []setting[Settings] {
	return []setting[Settings]{
		addresses(sectionPeers, "Seeds", "Peer addresses that this gateway dials while it knows no other gateway, so that it can start while the store is down.",
			func(s *Settings) *[]string { return &s.Peers.Seeds }),
		integer(sectionPeers, "Across", "2", 1, 16, "links",
			"Links that this gateway keeps on average to gateways in other availability zones, besides those in its own.",
			func(s *Settings) *int { return &s.Peers.Across }),
		duration(sectionPeers, "Heartbeat", "500ms", 10*time.Millisecond, time.Minute,
			"Time between heartbeats on a link.",
			func(s *Settings) *time.Duration { return &s.Peers.Heartbeat }),
		duration(sectionPeers, "Silent", "2s", 20*time.Millisecond, 5*time.Minute,
			"Silence after which a link is closed and dialled anew; longer than Heartbeat.",
			func(s *Settings) *time.Duration { return &s.Peers.Silent }),
		duration(sectionStop, "Lag", "2s", 0, 10*time.Minute,
			"Time that a stopping gateway still accepts calls while the platform's balancer takes it out.",
			func(s *Settings) *time.Duration { return &s.Stop.Lag }),
		duration(sectionStop, "Grace", "0s", 0, time.Hour,
			"Time after which the platform kills a stopping gateway; calls that still run shortly before are cut, visibly. 0s means that it never does.",
			func(s *Settings) *time.Duration { return &s.Stop.Grace }),
	}
}

func limitList() []setting[Settings] {
	return []setting[Settings]{
		duration(sectionLimits, "Deadline", "10s", time.Millisecond, maxDuration,
			"Deadline of a call whose rule states none.",
			func(s *Settings) *time.Duration { return &s.Limits.Deadline }),
		duration(sectionLimits, "Progress", "15s", 10*time.Millisecond, maxDuration,
			"Longest time without a byte of progress on a body, and for the arrival of a request header.",
			func(s *Settings) *time.Duration { return &s.Limits.Progress }),
		integer(sectionLimits, "HeaderBytes", "65536", 1024, 16<<20, "bytes",
			"Largest header of a request or an answer.",
			func(s *Settings) *int { return &s.Limits.HeaderBytes }),
		integer(sectionLimits, "BodyBytes", "1073741824", 0, 1<<50, "bytes",
			"Largest body of a request.",
			func(s *Settings) *int64 { return &s.Limits.BodyBytes }),
		integer(sectionLimits, "QueueLength", "64", 0, maxQueue, "calls",
			"Calls of one service that wait in this gateway for a server; 0 refuses at once.",
			func(s *Settings) *int { return &s.Limits.QueueLength }),
		number(sectionRetry, "RetryShare", "0.2", 0, 1, "a share of the calls",
			"Retries that trouble may add to the load; 0 retries nothing.",
			func(s *Settings) *float64 { return &s.Retry.RetryShare }),
		duration(sectionRetry, "Window", "10s", 100*time.Millisecond, maxDuration,
			"Time over which retries and hedges are counted against the calls.",
			func(s *Settings) *time.Duration { return &s.Retry.Window }),
		number(sectionRetry, "Slack", "200", 0, maxPerSecond, "attempts",
			"Retries and hedges in a window that all gateways together may send beyond the share; each takes its part.",
			func(s *Settings) *float64 { return &s.Retry.Slack }),
		number(sectionRetry, "HedgeShare", "0.05", 0, 1, "a share of the calls",
			"Second attempts of slow idempotent calls; 0 hedges nothing.",
			func(s *Settings) *float64 { return &s.Retry.HedgeShare }),
		number(sectionRetry, "HedgeQuantile", "0.95", 0.5, 0.999, "a quantile of the latency",
			"A call slower than this quantile of its service may be hedged.",
			func(s *Settings) *float64 { return &s.Retry.HedgeQuantile }),
	}
}

func choiceList() []setting[Settings] {
	return []setting[Settings]{
		oneOf(sectionChoice, "Policy", "Default", policies(), "How a server is chosen; Default is the one that won the comparison in docs/MEASUREMENTS.md.",
			func(s *Settings) *string { return &s.Choice.Policy }),
		integer(sectionChoice, "Ask", "8", 1, 64, "servers",
			"Endpoint servers that are asked for their load just before a call is sent, by the policy Survey.",
			func(s *Settings) *int { return &s.Choice.Ask }),
		number(sectionChoice, "EjectShare", "0.3", 0, 0.9, "a share of the servers",
			"Servers of one service that may be left out for errors or slowness at a time.",
			func(s *Settings) *float64 { return &s.Choice.EjectShare }),
		duration(sectionChoice, "SlowStart", "5s", 0, maxDuration,
			"Time over which a new server's share of the load grows.",
			func(s *Settings) *time.Duration { return &s.Choice.SlowStart }),
		oneOf(sectionLog, "Level", "info", []string{"debug", "info", "warn", "error"}, "Lowest level that is logged.",
			func(s *Settings) *string { return &s.Log.Level }),
		oneOf(sectionLog, "RouteLines", "All", []string{"All"}, "Routing decisions that get a log line.",
			func(s *Settings) *string { return &s.Log.RouteLines }),
	}
}

// policies names the policies of the choice of a server.
func policies() []string {
	return []string{"Default", "RoundRobin", "TwoChoices", "HotCold", "PreferredSpill", PolicySurvey}
}

// PolicySurvey asks servers for their load just before a call is sent.
const PolicySurvey = "Survey"

// headerList describes the headers of callers and servers.
func headerList() []setting[Settings] {
	return []setting[Settings]{
		headerName(sectionHeaders, "RequestID", "", "Header in which a caller names its request and a server names the request that it answers.",
			func(s *Settings) *string { return &s.Headers.RequestID }),
		headerName(sectionHeaders, "Deadline", "Mustardsaddle-Deadline", "Header that tells how many milliseconds the sender still waits, from callers and to servers.",
			func(s *Settings) *string { return &s.Headers.Deadline }),
		headerName(sectionHeaders, "Instance", "", "Header that names the server for which a request is meant; any other server answers 421.",
			func(s *Settings) *string { return &s.Headers.Instance }),
		headerName(sectionHeaders, "Server", "", "Header in which a server names itself in its answer.",
			func(s *Settings) *string { return &s.Headers.Server }),
		headerName(sectionHeaders, "Load", "Endpoint-Load-Metrics", "Header in which servers report their load.",
			func(s *Settings) *string { return &s.Headers.Load }),
		oneOf(sectionHeaders, "LoadFormat", LoadORCA, []string{LoadORCA, LoadCounts},
			"Format of load reports. Counts: running, waiting and slots, and then the slowness of the VM in percent, if known.",
			func(s *Settings) *string { return &s.Headers.LoadFormat }),
		headerName(sectionHeaders, "NotRun", "", "Header by which servers of any service declare, with any status, that a request was not run.",
			func(s *Settings) *string { return &s.Headers.NotRun }),
		headerName(sectionHeaders, "Signature", "", "Header that each successful answer of a server has; one without it is not relayed.",
			func(s *Settings) *string { return &s.Headers.Signature }),
		oneOf(sectionHeaders, "RetryAfter", "Seconds", []string{"Seconds", RetryAfterFractions},
			"Whether Retry-After has whole seconds or fractions, which only callers who know of them understand.",
			func(s *Settings) *string { return &s.Headers.RetryAfter }),
	}
}

// serviceList describes the settings of a service section.
func serviceList() []setting[Service] {
	return []setting[Service]{
		notRunStatus("NotRunStatus",
			"Status by which the service's servers declare, together with NotRunHeader, that a request was not run; 0 means that they never do.",
			func(v *Service) *int { return &v.NotRunStatus }),
		headerName(sectionService, "NotRunHeader", "", "Header that must come with NotRunStatus to declare that a request was not run.",
			func(v *Service) *string { return &v.NotRunHeader }),
		integer(sectionService, "Slots", "2", 1, 1<<16, "requests",
			"Requests that one server runs at a time, where the platform's list states none.",
			func(v *Service) *int { return &v.Slots }),
		integer(sectionService, "Connections", "200", 1, 1<<20, "connections",
			"Open connections that one server accepts, where the platform's list states none.",
			func(v *Service) *int { return &v.Connections }),
	}
}
