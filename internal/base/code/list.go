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
	// SettingsSyntax means text that is not an INI file.
	SettingsSyntax
	// SettingsDuplicate means a second section or key of the same name.
	SettingsDuplicate
	// SettingsTooLarge means a settings file above the limit.
	SettingsTooLarge
	// SettingsConflict means two settings that do not fit together.
	SettingsConflict
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
	// RuleBadEncoding means text that is not UTF-8, has a byte order mark or
	// contains control characters.
	RuleBadEncoding
	// RuleTooLarge means a rules file above the store's limit.
	RuleTooLarge
	// RuleLineTooLong means a line above the limit.
	RuleLineTooLong
	// RuleRepeatedField means a field that stands twice in one rule.
	RuleRepeatedField
	// RuleBadPattern means a Path that is not a valid path or pattern.
	RuleBadPattern
	// RuleBadGeneration means a Generation line that is missing, repeated, out
	// of place or not a number.
	RuleBadGeneration
	// RuleUnknownBase means that the generation that a submission names is not
	// known, because it is too old or was never accepted.
	RuleUnknownBase
	// RuleConflictChange means that the submission and an accepted one both
	// changed the same rule, differently.
	RuleConflictChange
	// RuleConflictRemoval means that one side removed a rule that the other
	// changed.
	RuleConflictRemoval
	// RuleSubmissionLost means that the store no longer has a submission.
	RuleSubmissionLost
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
	// StoreBudget means that the gateway's own call budget is spent. Nothing was
	// sent.
	StoreBudget
	// StoreNewerFormat means an object whose format is newer than this program.
	StoreNewerFormat
	// StoreBackoff means that the client waits after failures before it calls
	// the store again. Nothing was sent.
	StoreBackoff
	// StoreHistoryLost means that the store no longer has the changes since a
	// revision, so that the whole has to be read.
	StoreHistoryLost
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
	// CallUpgrade means a request for another protocol, which is not supported.
	CallUpgrade
	// CallMismatch means an answer that belongs to another attempt.
	CallMismatch
	// CallClaimed means that the request's Idempotency-Key is claimed already.
	CallClaimed
	// CallStopping means that the gateway stops and takes no new callers.
	CallStopping
)

// Process codes.
const (
	// StopCut means that a stop cut calls, because it was aborted.
	StopCut Code = iota + 7001
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
