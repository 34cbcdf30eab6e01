package event

// Process events.
const (
	// Started is logged when the gateway listens on all its addresses.
	Started Event = iota + 1001
	// StopBegun is logged when a graceful shutdown begins.
	StopBegun
	// StopEnded is logged when the process exits, with the number of aborted calls.
	StopEnded
	// LinesLost is logged when log lines were dropped because the log output was too
	// slow.
	LinesLost
	// SettingsReloaded is logged when changed settings were reloaded, with the
	// changes that take effect immediately and those that need a restart.
	SettingsReloaded
	// SettingsRefused is logged when changed settings are invalid and the previous
	// ones stay in effect.
	SettingsRefused
	// MetricsUnavailable is logged when the address for the metrics page alone cannot be
	// listened on.
	MetricsUnavailable
	// LinesOmitted is logged when lines of an event were omitted because there were too many
	// of them.
	LinesOmitted
	// StopRepeated is logged when a signal asks for a stop that has begun before.
	StopRepeated
)

// Rule events.
const (
	// RulesInForce is logged when a generation is put in force on this gateway.
	RulesInForce Event = iota + 2001
	// RulesRefused is logged when a submission, or a part of it, is refused.
	RulesRefused
	// RulesAccepted is logged when this gateway has processed a submission.
	RulesAccepted
	// RulesIgnored is logged when rules from the store or a peer are not used.
	RulesIgnored
	// RulesStatusFailed is logged when Rules/InForce could not be written.
	RulesStatusFailed
	// RulesRepaired is logged when this gateway has overwritten an unusable
	// Rules/Accepted with the last valid one.
	RulesRepaired
)

// Store events.
const (
	// StoreFailed is logged when a call to the platform's store fails.
	StoreFailed Event = iota + 3001
	// StoreBack is logged when the platform's store responds again.
	StoreBack
	// EntrySkipped is logged when an entry of the platform's directory, or a field of it, is
	// unusable.
	EntrySkipped
	// ServerChanged is logged when an endpoint server is added, removed or replaced.
	ServerChanged
	// EntryRemoved is logged when this gateway removes the entry of another gateway,
	// which is gone, from the platform's directory.
	EntryRemoved
	// StoreRestored is logged when the platform's store was restored from an older copy
	// of its data.
	StoreRestored
	// StoreEraIgnored is logged for the first response of the platform's store that does
	// not state its era as expected.
	StoreEraIgnored
	// EvacuationBegun is logged when an availability zone is evacuated.
	EvacuationBegun
	// EvacuationDrained is logged when this gateway has no request in flight in an evacuated
	// zone any more.
	EvacuationDrained
	// EvacuationEnded is logged when an availability zone is no longer evacuated.
	EvacuationEnded
	// EvacuationsUnknown is logged when servers are used although the evacuations are
	// unknown.
	EvacuationsUnknown
)

// Call events.
const (
	// RouteChosen is logged for each selection of a server for an attempt.
	RouteChosen Event = iota + 4001
	// CallRefused is logged when a call ends without a response of a server.
	CallRefused
	// CallEnded is logged when a server's response was forwarded.
	CallEnded
	// CallCut is logged when a response was interrupted and the caller's connection
	// was aborted.
	CallCut
	// CallResumed is logged when an interrupted download is resumed from another server.
	CallResumed
	// ConnectionSilent is logged when a reused connection is closed because it
	// received no response.
	ConnectionSilent
	// AttemptFailed is logged when an attempt produced no response for the caller.
	AttemptFailed
	// ServerOut is logged when a server is temporarily ejected.
	ServerOut
	// ServerStatement is logged when what a server states about the requests that it
	// takes has changed.
	ServerStatement
	// ServerStatementBad is logged for the first unreadable statement of each
	// incarnation of a server.
	ServerStatementBad
	// ServerPause is logged when a server that has not asked for a pause yet asks this
	// gateway to send it nothing for a time.
	ServerPause
	// ServiceLost is logged when this gateway can no longer reach the servers of a service,
	// with the evidence.
	ServiceLost
	// ServiceRegained is logged when this gateway can reach the servers of a service again.
	ServiceRegained
	// ServerEnded is logged when a server has ended while it ran requests of this gateway.
	ServerEnded
	// RequestSuspected is logged when a server has ended while it had a request that was not
	// suspect, or when another gateway says so.
	RequestSuspected
	// RequestQuarantined is logged when a request is no longer sent to servers, because
	// several have ended while they had it.
	RequestQuarantined
	// RequestRetested is logged when a gateway sends a quarantined request once more.
	RequestRetested
	// RequestCleared is logged when a request is no longer suspect or quarantined.
	RequestCleared
	// CallsLeaveZone is logged when attempts of a service begin or cease to go to servers
	// of other availability zones, or when their share changes by much.
	CallsLeaveZone
	// ServerWarmUp is logged when this gateway begins to limit the requests to a server
	// because it is warming up.
	ServerWarmUp
	// ServerWarm is logged when this gateway no longer limits the requests to a server that
	// was warming up.
	ServerWarm
	// RetryRefused is logged when the retry budget does not allow a retry or a hedge.
	RetryRefused
	// ConnectionCut is logged when the gateway ends a connection although data of the caller has
	// arrived on it that no response follows.
	ConnectionCut
	// CallPanicked is logged when the code that serves a call has panicked.
	CallPanicked
)

// Peer events.
const (
	// LinkUp is logged when a peer link is established.
	LinkUp Event = iota + 5001
	// LinkDown is logged when a peer link ends.
	LinkDown
	// LinkSilent is logged when a peer link is closed because it received no data.
	LinkSilent
	// LinkFailed is logged when a peer link cannot be established.
	LinkFailed
	// PeerMessageRefused is logged when a message from a peer is rejected.
	PeerMessageRefused
	// PeerMessageUnknown is logged when a message has an unknown type, which a later
	// version may have added.
	PeerMessageUnknown
	// PeerNewsDropped is logged when updates are dropped because a link is too slow.
	PeerNewsDropped
	// ForwardRefused is logged when a call that another gateway has forwarded is refused
	// before it is matched.
	ForwardRefused
	// PeerReach is logged when another gateway states which services it cannot reach.
	PeerReach
	// CustomerLimited is logged when this gateway, which grants a customer's quota, begins to
	// refuse its calls.
	CustomerLimited
	// CustomerUnlimited is logged when it has not refused any for a time.
	CustomerUnlimited
)
