package code

const (
	// OK means success.
	OK Code = 0
	// Internal means a broken invariant; please report it.
	Internal Code = 1
)

// Settings codes.
const (
	// SettingsUnreadable means that the settings file could not be read.
	SettingsUnreadable Code = iota + 1001
	// SettingsUnknownSection means a section that no version knows.
	SettingsUnknownSection
	// SettingsUnknownKey means a key that the section does not have.
	SettingsUnknownKey
	// SettingsBadValue means a value that does not parse or is out of range.
	SettingsBadValue
	// SettingsMissing means a required key without a value.
	SettingsMissing
)

// Rule codes.
const (
	// RuleSyntax means a line that is not a list of Name=Value pairs.
	RuleSyntax Code = iota + 2001
	// RuleUnknownField means a field name that no version knows.
	RuleUnknownField
	// RuleBadValue means a value that does not parse or is out of range.
	RuleBadValue
	// RuleMissingField means a rule without Path or Service.
	RuleMissingField
	// RuleNoWho means a rule without a comment that names who asked for it.
	RuleNoWho
	// RuleDuplicate means a second rule with the same Host, Path and Method.
	RuleDuplicate
)

// Store codes.
const (
	// StoreConflict means that a conditional write found a newer version.
	StoreConflict Code = iota + 3001
	// StoreUnavailable means that the platform's store did not answer.
	StoreUnavailable
	// StoreTooLarge means a value above the store's limit.
	StoreTooLarge
	// StoreBadObject means an object that is not ours or has a newer format.
	StoreBadObject
	// StoreRefused means that the store refused the call.
	StoreRefused
	// StoreBudget means that the gateway's own call budget is spent.
	StoreBudget
)

// Call codes.
const (
	// CallNoRule means that no rule matches the request.
	CallNoRule Code = iota + 4001
	// CallNoServer means that no server can take the request now.
	CallNoServer
	// CallOverloaded means that the queue is longer than the deadline allows.
	CallOverloaded
	// CallDeadline means that the deadline passed.
	CallDeadline
	// CallBroken means that the server's answer did not come whole.
	CallBroken
	// CallNotReady means that the gateway has no rules yet.
	CallNotReady
	// CallBadRequest means a request with conflicting or unsupported framing.
	CallBadRequest
	// CallTooLarge means a header or body above the limit.
	CallTooLarge
	// CallCanceled means that the caller went away.
	CallCanceled
)

// Peer message codes.
const (
	// PeerBadMessage means a message that does not decode.
	PeerBadMessage Code = iota + 5001
	// PeerNewerFormat means a message of a newer format.
	PeerNewerFormat
	// PeerUnavailable means that a peer cannot be reached, or its link ended.
	PeerUnavailable
)

// Report codes.
const (
	// ReportBad means a load report that does not parse or is out of range.
	ReportBad Code = iota + 6001
)
