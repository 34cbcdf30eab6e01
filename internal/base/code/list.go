package code

const (
	// OK means success.
	OK Code = 0
	// Internal means an internal error, a violated invariant; please report it.
	Internal Code = 1
)

// Settings codes.
const (
	// SettingsUnreadable means that the settings file could not be read.
	SettingsUnreadable Code = iota + 1001
	// SettingsUnknownSection means a section that does not exist.
	SettingsUnknownSection
	// SettingsUnknownKey means a key that does not exist in its section.
	SettingsUnknownKey
	// SettingsBadValue means a value that cannot be parsed or is out of range.
	SettingsBadValue
	// SettingsMissing means that a required key is missing.
	SettingsMissing
	// SettingsSyntax means text that is not valid INI syntax.
	SettingsSyntax
	// SettingsDuplicate means a duplicate section, or a duplicate key in a section.
	SettingsDuplicate
	// SettingsTooLarge means a settings file above the size limit.
	SettingsTooLarge
	// SettingsConflict means settings that contradict each other.
	SettingsConflict
)

// Rule codes.
const (
	// RuleSyntax means a line that is not a list of Name=Value pairs.
	RuleSyntax Code = iota + 2001
	// RuleUnknownField means a field name that does not exist.
	RuleUnknownField
	// RuleBadValue means a value that cannot be parsed or is out of range.
	RuleBadValue
	// RuleMissingField means a rule without Path or Service.
	RuleMissingField
	// RuleNoWho means a rule without a comment that names who requested it and why.
	RuleNoWho
	// RuleDuplicate means a second rule with the same Host, Path and Method, or a
	// second declaration of the same service or of the idle timeout.
	RuleDuplicate
	// RuleBadEncoding means text that is not UTF-8, has a byte order mark or
	// contains control characters.
	RuleBadEncoding
	// RuleTooLarge means a rules file above the size limit.
	RuleTooLarge
	// RuleLineTooLong means a line above the length limit.
	RuleLineTooLong
	// RuleRepeatedField means a duplicate field in one rule.
	RuleRepeatedField
	// RuleBadPattern means a Path that is not a valid path or pattern.
	RuleBadPattern
	// RuleBadGeneration means a Generation line that is missing, duplicate, not the
	// first line or without a valid number.
	RuleBadGeneration
	// RuleUnknownBase means that the generation stated by a submission is unknown,
	// because it is too old or was never accepted.
	RuleUnknownBase
	// RuleConflictChange means that the submission and an accepted generation
	// changed the same rule differently.
	RuleConflictChange
	// RuleConflictRemoval means that the submission or an accepted generation removed
	// a rule that the other one changed.
	RuleConflictRemoval
	// RuleSubmissionLost means that a submission is no longer in the store.
	RuleSubmissionLost
	// EvacuationZoneUnknown means that no endpoint server is in the zone to evacuate.
	EvacuationZoneUnknown
	// EvacuationUnknown means that the zone whose evacuation is to end is not evacuated.
	EvacuationUnknown
	// EvacuationElsewhere means that evacuations are written in the platform's store.
	EvacuationElsewhere
)

// Store codes.
const (
	// StoreConflict means that a conditional write found a newer version.
	StoreConflict Code = iota + 3001
	// StoreUnavailable means that the platform's store did not respond, or responded
	// with a server error.
	StoreUnavailable
	// StoreTooLarge means a value above the store's size limit.
	StoreTooLarge
	// StoreBadObject means a stored object that cannot be decoded, has an unsupported
	// format, or contradicts what the gateway already knows.
	StoreBadObject
	// StoreRefused means that the store rejected the call.
	StoreRefused
	// StoreBudget means that the gateway's call budget for the store is exhausted. No
	// call was sent.
	StoreBudget
	// StoreNewerFormat means a stored object whose format version is newer than this
	// program supports.
	StoreNewerFormat
	// StoreBackoff means that the client is backing off after failed calls to the
	// store. No call was sent.
	StoreBackoff
	// StoreHistoryLost means that the store no longer has the changes since a
	// revision, so that a full read is needed.
	StoreHistoryLost
	// StoreOldEra means a response from before the store was restored, which is not used.
	StoreOldEra
)

// Call codes.
const (
	// CallNoRule means that no rule matches the request.
	CallNoRule Code = iota + 4001
	// CallNoServer means that no server is currently available for the request.
	CallNoServer
	// CallOverloaded means that the queue is too long for the request's deadline.
	CallOverloaded
	// CallDeadline means that the deadline was exceeded.
	CallDeadline
	// CallBroken means that the server's response was incomplete or malformed.
	CallBroken
	// CallNotReady means that the gateway has no rules yet.
	CallNotReady
	// CallBadRequest means a request with conflicting or unsupported framing.
	CallBadRequest
	// CallTooLarge means a header or body above the size limit.
	CallTooLarge
	// CallCanceled means that the caller disconnected.
	CallCanceled
	// CallUpgrade means a protocol upgrade request, which is not supported.
	CallUpgrade
	// CallMismatch means a response that belongs to another attempt.
	CallMismatch
	// CallClaimed means that the request's Idempotency-Key is already claimed.
	CallClaimed
	// CallStopping means that the gateway is shutting down and accepts no new calls.
	CallStopping
	// CallLimited means that no server may get a request now, by their own statements.
	CallLimited
	// CallUnreachable means that the gateway cannot reach the servers of the service, and no
	// other gateway took the call.
	CallUnreachable
	// CallQuarantined means that servers have ended while they ran the same request, which
	// is not sent again for a time.
	CallQuarantined
	// CallSuspect means that a server may have ended because of the same request, and that
	// another run of it has yet to end.
	CallSuspect
	// CallKeyUnknown means a request without a key of a customer, on a rule that needs one.
	CallKeyUnknown
	// CallOverQuota means that the customer has used up its quota.
	CallOverQuota
	// CallEvacuated means that all servers of the service are in evacuated availability
	// zones.
	CallEvacuated
)

// Process codes.
const (
	// StopCut means that calls were aborted because the graceful shutdown was aborted
	// or exceeded its time limit.
	StopCut Code = iota + 7001
)

// Peer message codes.
const (
	// PeerBadMessage means a message that cannot be decoded or is invalid.
	PeerBadMessage Code = iota + 5001
	// PeerNewerFormat means a message with a newer format version.
	PeerNewerFormat
	// PeerUnavailable means that a peer cannot be reached, or that its link has ended.
	PeerUnavailable
	// PeerUnknown means a forwarded call that does not come from a gateway of the system.
	PeerUnknown
	// PeerBusy means that a gateway takes no further call of other gateways.
	PeerBusy
)

// Load report codes.
const (
	// ReportBad means a load report that cannot be parsed or is out of range.
	ReportBad Code = iota + 6001
	// StatementBad means a statement of a server about the requests that it takes that
	// cannot be parsed or is out of range.
	StatementBad
)

// Request identity codes.
const (
	// RequestDigestBad means a digest of a request that cannot be parsed.
	RequestDigestBad Code = iota + 8001
	// RequestDigestUnknown means the digest of a request that is neither suspect nor
	// quarantined.
	RequestDigestUnknown
)
