package api

// Outcome tells what became of a request. The set is closed.
type Outcome string

// The outcomes. NotRun is only said by what can prove it.
const (
	// Answered: the upstream answered and the whole answer was passed on.
	Answered Outcome = "answered"
	// NotRun: no upstream was given the request, and none will be.
	NotRun Outcome = "not-run"
	// Unknown: the request may have run. It will not be run again.
	Unknown Outcome = "unknown"
)

// Reason tells why a request was refused, left unknown or retried. It is at
// once the error kind, the log field and the label of the counter.
type Reason string

// Reasons of refusal. All of them go with NotRun unless the text says otherwise.
const (
	ReasonNone              Reason = ""
	ReasonInvalidRequest    Reason = "invalid_request"
	ReasonBodyTooLarge      Reason = "body_too_large"
	ReasonUnknownAPIKey     Reason = "unknown_api_key"
	ReasonTierNotAllowed    Reason = "tier_not_allowed"
	ReasonUnknownTier       Reason = "unknown_tier"
	ReasonUnknownModel      Reason = "unknown_model"
	ReasonUnknownService    Reason = "unknown_service"
	ReasonPromptTooLong     Reason = "prompt_too_long"
	ReasonDeadlinePast      Reason = "deadline_past"
	ReasonKeyRequired       Reason = "key_required"
	ReasonKeyInvalid        Reason = "key_invalid"
	ReasonKeyMismatch       Reason = "key_mismatch"
	ReasonKeyLimit          Reason = "key_limit"
	ReasonNoConfiguration   Reason = "no_configuration"
	ReasonNoUpstream        Reason = "no_upstream"
	ReasonQueueFull         Reason = "queue_full"
	ReasonDisplaced         Reason = "displaced_by_higher_tier"
	ReasonPredictedLate     Reason = "predicted_late"
	ReasonDeadlineTooShort  Reason = "deadline_too_short"
	ReasonDeadlineExpired   Reason = "deadline_expired"
	ReasonOrganisationLimit Reason = "organisation_limit"
	ReasonDraining          Reason = "draining"
	ReasonCallerGone        Reason = "caller_gone"
	ReasonUpstreamRefused   Reason = "upstream_refused"
	ReasonUnreachable       Reason = "upstream_unreachable"
	ReasonPaused            Reason = "instance_was_paused"
)

// Reasons of an Unknown outcome.
const (
	// ReasonKeyExpired: the key's lifetime is over; its earlier use is forgotten.
	ReasonKeyExpired Reason = "key_expired"
	// ReasonIssuerGone: the instance that issued the key has ended.
	ReasonIssuerGone Reason = "issuer_gone"
	// ReasonIssuerUnreachable: the issuing instance can't be reached now.
	ReasonIssuerUnreachable Reason = "issuer_unreachable"
	// ReasonNotFirstAttempt: a repeat of a caller-chosen ID that no reachable
	// instance holds.
	ReasonNotFirstAttempt Reason = "not_first_attempt"
	// ReasonUpstreamLost: the connection broke after the request was written.
	ReasonUpstreamLost Reason = "upstream_lost"
	// ReasonUpstreamCut: the upstream ended its answer before its end.
	ReasonUpstreamCut Reason = "upstream_cut"
	// ReasonUpstreamGarbage: the upstream's answer breaks its protocol.
	ReasonUpstreamGarbage Reason = "upstream_garbage"
	// ReasonUpstreamTimeout: the deadline passed while the upstream worked.
	ReasonUpstreamTimeout Reason = "upstream_timeout"
	// ReasonAnswerEvicted: it was answered, but the answer is no longer held.
	ReasonAnswerEvicted Reason = "answer_evicted"
)

// Reasons of a retry inside the daemon.
const (
	RetryConnect      Reason = "retry_connect_failed"
	RetryUpstreamBusy Reason = "retry_upstream_busy"
	RetryUpstreamLost Reason = "retry_upstream_lost"
	RetryPeerLink     Reason = "retry_peer_link"
	RetryResume       Reason = "retry_stream_resumed"
)

// RefusalReasons lists every reason of a refusal or of an unknown outcome.
var RefusalReasons = []Reason{
	ReasonInvalidRequest, ReasonBodyTooLarge, ReasonUnknownAPIKey, ReasonTierNotAllowed,
	ReasonUnknownTier, ReasonUnknownModel, ReasonUnknownService, ReasonPromptTooLong,
	ReasonDeadlinePast, ReasonKeyRequired, ReasonKeyInvalid, ReasonKeyMismatch,
	ReasonKeyLimit, ReasonNoConfiguration, ReasonNoUpstream, ReasonQueueFull,
	ReasonDisplaced, ReasonPredictedLate, ReasonDeadlineTooShort, ReasonDeadlineExpired, ReasonOrganisationLimit,
	ReasonDraining, ReasonCallerGone, ReasonUpstreamRefused, ReasonUnreachable, ReasonPaused,
	ReasonKeyExpired, ReasonIssuerGone, ReasonIssuerUnreachable, ReasonNotFirstAttempt,
	ReasonUpstreamLost, ReasonUpstreamCut, ReasonUpstreamGarbage, ReasonUpstreamTimeout,
	ReasonAnswerEvicted,
}

// RetryReasons lists every reason of a retry.
var RetryReasons = []Reason{
	RetryConnect, RetryUpstreamBusy, RetryUpstreamLost, RetryPeerLink, RetryResume,
}
