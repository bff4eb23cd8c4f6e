package api

// Headers that callers send.
const (
	// HeaderTier names the tier; the organisation's default where absent.
	HeaderTier = "Tacktally-Tier"
	// HeaderTimeout is the time the caller will wait, a Go duration such as "1.5s".
	HeaderTimeout = "Tacktally-Timeout"
	// HeaderNonIdempotent is "true" for a request that must run at most once.
	HeaderNonIdempotent = "Tacktally-Non-Idempotent"
	// HeaderIdempotencyKey carries an issued key or a caller-chosen ID.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt is "1" on the first attempt of a caller-chosen ID, and
	// higher on each repeat.
	HeaderAttempt = "Tacktally-Attempt"
	// HeaderRetryCount is the same mark as OpenAI's clients send it: 0 first.
	HeaderRetryCount = "X-Stainless-Retry-Count"
	// HeaderLastEventID resumes an interrupted stream (from the SSE standard).
	HeaderLastEventID = "Last-Event-ID"
)

// Headers and trailers that answers carry.
const (
	// HeaderOutcome is the Outcome known when the header was written.
	HeaderOutcome = "Tacktally-Outcome"
	// HeaderAttemptOutcome is "not-run" when this attempt, other than earlier
	// ones under the same key, was given to no upstream and to no other instance.
	HeaderAttemptOutcome = "Tacktally-Attempt-Outcome"
	// HeaderIssuedKey is an issued idempotency key, on answers with status 428.
	HeaderIssuedKey = "Tacktally-Issued-Key"
	// HeaderReason is the typed reason, where there is one.
	HeaderReason = "Tacktally-Reason"
	// HeaderInstance is the address of the instance that decided.
	HeaderInstance = "Tacktally-Instance"
	// HeaderRequestID names the request in the logs.
	HeaderRequestID = "Tacktally-Request-Id"
	// HeaderUpstream is the upstream that answered.
	HeaderUpstream = "Tacktally-Upstream"
	// HeaderJoined is "true" when the answer is that of an earlier attempt.
	HeaderJoined = "Tacktally-Joined"
	// HeaderRevision is the configuration revision the request was served under.
	HeaderRevision = "Tacktally-Revision"
)
