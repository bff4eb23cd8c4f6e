package api

// Headers that callers send.
const (
	// HeaderTier names the tier. Default: the organisation's default tier.
	HeaderTier = "Tacktally-Tier"
	// HeaderTimeout is how long the caller waits for the response, as a Go duration such as "1.5s".
	HeaderTimeout = "Tacktally-Timeout"
	// HeaderNonIdempotent is "true" for a request that must run at most once.
	HeaderNonIdempotent = "Tacktally-Non-Idempotent"
	// HeaderIdempotencyKey carries an issued key or a caller-chosen ID of the request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt is "1" on the first attempt under a caller-chosen ID, and
	// higher on each retry.
	HeaderAttempt = "Tacktally-Attempt"
	// HeaderRetryCount is the equivalent of HeaderAttempt that OpenAI's clients send;
	// "0" on the first attempt.
	HeaderRetryCount = "X-Stainless-Retry-Count"
	// HeaderLastEventID resumes an interrupted stream (from the SSE standard).
	HeaderLastEventID = "Last-Event-ID"
)

// Headers and trailers of responses.
const (
	// HeaderOutcome is the Outcome as known when the header was written.
	HeaderOutcome = "Tacktally-Outcome"
	// HeaderAttemptOutcome is "not-run" if this attempt was sent to no upstream and to
	// no other instance. Earlier attempts under the same key may have run.
	HeaderAttemptOutcome = "Tacktally-Attempt-Outcome"
	// HeaderIssuedKey is an issued idempotency key, on responses with status 428.
	HeaderIssuedKey = "Tacktally-Issued-Key"
	// HeaderReason is the Reason, if there is one.
	HeaderReason = "Tacktally-Reason"
	// HeaderInstance is the address of the instance that decided on the request.
	HeaderInstance = "Tacktally-Instance"
	// HeaderRequestID identifies the request in the logs.
	HeaderRequestID = "Tacktally-Request-Id"
	// HeaderUpstream identifies the upstream that answered.
	HeaderUpstream = "Tacktally-Upstream"
	// HeaderJoined is "true" if the response is that of an earlier attempt.
	HeaderJoined = "Tacktally-Joined"
	// HeaderRevision is the configuration revision the request was served under.
	HeaderRevision = "Tacktally-Revision"
)
