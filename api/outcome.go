package api

// Outcome is the result of a request. The set of outcomes is closed.
type Outcome string

// The outcomes. NotRun is reported only where it is certain that the request did not run.
const (
	// Answered: the upstream answered, and its whole response was passed on.
	Answered Outcome = "answered"
	// NotRun: no upstream received the request, and none will.
	NotRun Outcome = "not-run"
	// Unknown: the request may have run. It will not be run again.
	Unknown Outcome = "unknown"
)

// Reason is the cause of a refusal, an unknown outcome or a retry. It serves as the
// error kind, the log field and the label of the counter.
type Reason string

// ReasonNone is the reason of a request that was answered in full.
const ReasonNone Reason = ""

// Reasons of a refusal. The outcome is not-run, or unknown if the request came under a key
// and was refused without asking the key's issuer.
const (
	// ReasonInvalidRequest: the request is malformed. Correct what the detail names.
	ReasonInvalidRequest Reason = "invalid_request"
	// ReasonBodyTooLarge: the body exceeds callers.maxBodyBytes or the service's maxBodyBytes. Send a smaller one.
	ReasonBodyTooLarge Reason = "body_too_large"
	// ReasonUnknownAPIKey: the API key is missing or belongs to no organisation. Ask the operator for one.
	ReasonUnknownAPIKey Reason = "unknown_api_key"
	// ReasonTierNotAllowed: the organisation may not use the tier. Omit the tier, or add it to the organisation.
	ReasonTierNotAllowed Reason = "tier_not_allowed"
	// ReasonUnknownTier: the tier was removed from the configuration after the request was accepted. Send the request again.
	ReasonUnknownTier Reason = "unknown_tier"
	// ReasonUnknownModel: no engine set serves the model. GET /v1/models lists those that are served.
	ReasonUnknownModel Reason = "unknown_model"
	// ReasonUnknownService: no service has this name. Declare it, or correct the path.
	ReasonUnknownService Reason = "unknown_service"
	// ReasonPromptTooLong: the prompt exceeds the engine set's maxPromptTokens. Shorten it.
	ReasonPromptTooLong Reason = "prompt_too_long"
	// ReasonDeadlinePast: the timeout given has passed already. Set a longer one.
	ReasonDeadlinePast Reason = "deadline_past"
	// ReasonKeyRequired: a non-idempotent request came without an issued key. Send it again with the key in the response.
	ReasonKeyRequired Reason = "key_required"
	// ReasonKeyInvalid: the idempotency key is malformed, too long or not signed by its issuer. Use the key exactly as it was issued.
	ReasonKeyInvalid Reason = "key_invalid"
	// ReasonKeyMismatch: the key was used for another request, or was issued to another organisation. Use each key for one request.
	ReasonKeyMismatch Reason = "key_mismatch"
	// ReasonKeyLimit: the instance has issued as many keys as idempotency.maxEntries allows. Retry later, or raise the limit.
	ReasonKeyLimit Reason = "key_limit"
	// ReasonNoConfiguration: the instance has not accepted a configuration, or not read the instance list, yet. Retry shortly; check the platform if it persists.
	ReasonNoConfiguration Reason = "no_configuration"
	// ReasonNoRoute: no route matches the host and path. Correct them, or publish a route.
	ReasonNoRoute Reason = "no_route"
	// ReasonStaleConfiguration: the configuration is older than its lease, or too old to refuse a request on the basis of it. Retry shortly; check the instance's connection to the platform if it persists.
	ReasonStaleConfiguration Reason = "stale_configuration"
	// ReasonNoUpstream: no upstream of the set is in service in this availability zone. Check the instance list.
	ReasonNoUpstream Reason = "no_upstream"
	// ReasonQueueFull: the queue is full, or callers.maxInFlight is reached. Retry after the given time.
	ReasonQueueFull Reason = "queue_full"
	// ReasonDisplaced: the request was removed from the queue to admit work of a higher tier. Retry after the given time.
	ReasonDisplaced Reason = "displaced_by_higher_tier"
	// ReasonPredictedLate: the request would not be in time because of the work ahead of it. Retry after the given time.
	ReasonPredictedLate Reason = "predicted_late"
	// ReasonDeadlineTooShort: even an idle upstream would answer too late. Allow more time, or send a smaller request.
	ReasonDeadlineTooShort Reason = "deadline_too_short"
	// ReasonDeadlineExpired: no upstream had free capacity in time. Retry after the given time.
	ReasonDeadlineExpired Reason = "deadline_expired"
	// ReasonOrganisationLimit: the organisation has used up its tokensPerSecond. Retry after the given time, or raise the limit.
	ReasonOrganisationLimit Reason = "organisation_limit"
	// ReasonDraining: the instance is shutting down. Send the request again; another instance will serve it.
	ReasonDraining Reason = "draining"
	// ReasonCallerGone: the caller closed the connection.
	ReasonCallerGone Reason = "caller_gone"
	// ReasonUpstreamRefused: the upstreams refuse work. Retry after the given time.
	ReasonUpstreamRefused Reason = "upstream_refused"
	// ReasonRetryBudget: an upstream failed the request, and the retry budget of the service is used up. Retry after the given time.
	ReasonRetryBudget Reason = "retry_budget"
	// ReasonCrashesUpstreams: upstreams crashed repeatedly while they ran this request. Change the request, or fix the upstreams and retry after the given time.
	ReasonCrashesUpstreams Reason = "crashes_upstreams"
	// ReasonUnreachable: no connection to any upstream could be established, and nothing was written. Retry later; check the upstreams.
	ReasonUnreachable Reason = "upstream_unreachable"
)

// Reasons of an unknown outcome.
const (
	// ReasonKeyExpired: the key has expired, and its earlier use is no longer known. Check what the request did before you request a new key.
	ReasonKeyExpired Reason = "key_expired"
	// ReasonIssuerGone: the instance that issued the key has terminated; the request won't run any more, but may have run. Check what it did before you send it under a new key.
	ReasonIssuerGone Reason = "issuer_gone"
	// ReasonIssuerUnreachable: the instance that issued the key can't be reached at present. Retry later with the same key.
	ReasonIssuerUnreachable Reason = "issuer_unreachable"
	// ReasonNotFirstAttempt: the request retries a caller-chosen ID that no reachable instance holds. Mark the first attempt, or check what it did and use a new ID.
	ReasonNotFirstAttempt Reason = "not_first_attempt"
	// ReasonOriginUnknown: the request resumes a stream of which no reachable instance knows the service and the version of the upstreams that began it, and several serve, or the route no longer leads to that service. Retry after the given time, with the ID of the stream's first request, or send the request anew.
	ReasonOriginUnknown Reason = "origin_unknown"
	// ReasonUpstreamLost: the connection failed after the request was written. Check what it did before you send it under a new key.
	ReasonUpstreamLost Reason = "upstream_lost"
	// ReasonUpstreamCut: the upstream's response was truncated. Resume with Last-Event-ID, or check what the request did.
	ReasonUpstreamCut Reason = "upstream_cut"
	// ReasonUpstreamEndUnstated: the response was passed on and may have broken off, since its upstream states neither its length nor its end. Check the body, and make the service state one of them.
	ReasonUpstreamEndUnstated Reason = "upstream_end_unstated"
	// ReasonUpstreamGarbage: the upstream's response violates its protocol. Check what the request did, and check the upstream.
	ReasonUpstreamGarbage Reason = "upstream_garbage"
	// ReasonUpstreamTimeout: the deadline passed while the upstream was running the request. Allow more time; check what the request did.
	ReasonUpstreamTimeout Reason = "upstream_timeout"
	// ReasonAnswerEvicted: the request was answered, but the response is no longer retained. Look up the result at the service, or raise idempotency.maxAnswerBytes.
	ReasonAnswerEvicted Reason = "answer_evicted"
)

// Reasons of a retry inside the daemon.
const (
	// RetryConnect: the connection to an upstream could not be established; another upstream was tried.
	RetryConnect Reason = "retry_connect_failed"
	// RetryPaused: the instance was paused between the scheduling decision and the write; the request was scheduled again.
	RetryPaused Reason = "retry_paused"
	// RetryUpstreamBusy: an upstream refused the request for lack of capacity; another upstream was tried.
	RetryUpstreamBusy Reason = "retry_upstream_busy"
	// RetryUpstreamLost: the connection failed during an idempotent request; another upstream was tried.
	RetryUpstreamLost Reason = "retry_upstream_lost"
	// RetryPeerLink: the link to the issuer of a key failed; the request was sent again on a new link.
	RetryPeerLink Reason = "retry_peer_link"
	// RetryUpstreamSilent: an upstream did not start its response in time, or stopped sending for too long; another upstream was tried.
	RetryUpstreamSilent Reason = "retry_upstream_silent"
	// RetryOtherZone: the availability zone had no free capacity; another zone served the request.
	RetryOtherZone Reason = "retry_other_zone"
	// RetryUpstreamFailed: an upstream answered an idempotent request with an error of its own; another upstream was tried.
	RetryUpstreamFailed Reason = "retry_upstream_failed"
	// RetryResume: a truncated stream was resumed at its engine.
	RetryResume Reason = "retry_stream_resumed"
)

// RefusalReasons lists the reasons of refusals and of unknown outcomes.
var RefusalReasons = []Reason{
	ReasonInvalidRequest, ReasonBodyTooLarge, ReasonUnknownAPIKey, ReasonTierNotAllowed,
	ReasonUnknownTier, ReasonUnknownModel, ReasonUnknownService, ReasonPromptTooLong,
	ReasonDeadlinePast, ReasonKeyRequired, ReasonKeyInvalid, ReasonKeyMismatch,
	ReasonKeyLimit, ReasonNoConfiguration, ReasonNoRoute, ReasonStaleConfiguration, ReasonNoUpstream, ReasonQueueFull,
	ReasonDisplaced, ReasonPredictedLate, ReasonDeadlineTooShort, ReasonDeadlineExpired, ReasonOrganisationLimit,
	ReasonDraining, ReasonCallerGone, ReasonUpstreamRefused, ReasonRetryBudget, ReasonCrashesUpstreams, ReasonUnreachable,
	ReasonKeyExpired, ReasonIssuerGone, ReasonIssuerUnreachable, ReasonNotFirstAttempt,
	ReasonOriginUnknown, ReasonUpstreamLost, ReasonUpstreamCut, ReasonUpstreamEndUnstated, ReasonUpstreamGarbage, ReasonUpstreamTimeout,
	ReasonAnswerEvicted,
}

// RetryReasons lists the reasons of retries.
var RetryReasons = []Reason{
	RetryConnect, RetryPaused, RetryUpstreamBusy, RetryUpstreamLost, RetryPeerLink, RetryUpstreamSilent, RetryUpstreamFailed, RetryOtherZone, RetryResume,
}
