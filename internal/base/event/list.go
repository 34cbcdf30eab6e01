package event

// Process events.
const (
	// Started is logged once all addresses are open.
	Started Event = iota + 1001
	// StopBegun is logged when a graceful stop begins.
	StopBegun
	// StopEnded is logged when the process ends, with the number of calls cut.
	StopEnded
	// LinesLost is logged when log lines were lost because the log was not read.
	LinesLost
	// SettingsReloaded is logged when changed settings were read, with what of them
	// takes force now and what only after a restart.
	SettingsReloaded
	// SettingsRefused is logged when changed settings have a mistake and the old
	// ones stay in force.
	SettingsRefused
)

// Rule events.
const (
	// RulesInForce is logged when a generation takes force on this gateway.
	RulesInForce Event = iota + 2001
	// RulesRefused is logged when a submission is refused.
	RulesRefused
	// RulesAccepted is logged when this gateway has handled a submission.
	RulesAccepted
	// RulesIgnored is logged when rules from the store or a peer are not taken.
	RulesIgnored
	// RulesStatusFailed is logged when Rules/InForce could not be written.
	RulesStatusFailed
	// RulesRepaired is logged when this gateway has written the last good
	// Rules/Accepted over one that could not be used.
	RulesRepaired
)

// Store events.
const (
	// StoreFailed is logged when a call to the platform's store fails.
	StoreFailed Event = iota + 3001
	// StoreBack is logged when the platform's store answers again.
	StoreBack
	// EntrySkipped is logged when an entry of the platform's directory is unusable.
	EntrySkipped
	// ServerChanged is logged when an endpoint server joins, leaves or is replaced.
	ServerChanged
	// EntryRemoved is logged when this gateway removes the entry of another one that
	// is gone from the platform's directory.
	EntryRemoved
)

// Call events.
const (
	// RouteChosen is logged for each choice of a server for an attempt.
	RouteChosen Event = iota + 4001
	// CallRefused is logged when a call ends without a server's answer.
	CallRefused
	// CallEnded is logged when a server's answer was relayed.
	CallEnded
	// CallCut is logged when an answer broke and the caller's connection was
	// aborted.
	CallCut
	// CallResumed is logged when a broken download goes on from another server.
	CallResumed
	// ConnectionSilent is logged when a connection that was reused carried no
	// answer and is closed.
	ConnectionSilent
	// AttemptFailed is logged when an attempt brought no answer for the caller.
	AttemptFailed
	// ServerOut is logged when a server is taken out of the choice for a time.
	ServerOut
)

// Peer events.
const (
	// LinkUp is logged when a peer link is established.
	LinkUp Event = iota + 5001
	// LinkDown is logged when a peer link ends.
	LinkDown
	// LinkSilent is logged when a peer link is closed because nothing came on it.
	LinkSilent
	// LinkFailed is logged when a peer link cannot be established.
	LinkFailed
	// PeerMessageRefused is logged when a message of a peer is not used.
	PeerMessageRefused
	// PeerMessageUnknown is logged when a message has a type of a later version.
	PeerMessageUnknown
	// PeerNewsDropped is logged when a link is too slow for the news on it.
	PeerNewsDropped
)
