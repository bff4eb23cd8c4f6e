package api

import (
	"fmt"
	"net/http"
	"time"
)

// ProblemContentType is the media type of a Problem (RFC 9457).
const ProblemContentType = "application/problem+json"

// Problem is the error body of every refusal and every unknown outcome.
// It is also the error type inside the daemon and in the client.
type Problem struct {
	// Type is a stable URN: "urn:tacktally:reason:" followed by the reason.
	Type string `json:"type"`
	// Title is the text of the HTTP status.
	Title string `json:"title"`
	// Status is the HTTP status, 400 to 599.
	Status int `json:"status"`
	// Detail describes what happened and what to do.
	Detail string `json:"detail"`
	// Outcome is not-run or unknown.
	Outcome Outcome `json:"outcome"`
	// AttemptOutcome is not-run if this attempt was sent to no upstream and to no
	// other instance. Earlier attempts under the same key may have run: the request
	// did not run if all attempts under its key ended with not-run.
	AttemptOutcome Outcome `json:"attemptOutcome,omitempty"`
	// Reason is the typed reason.
	Reason Reason `json:"reason"`
	// RequestID identifies the request in the logs.
	RequestID string `json:"requestId,omitempty"`
	// RetryAfterSeconds is the time to wait before a retry; 0 if a retry won't help.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitzero"`
	// RetryAfter is RetryAfterSeconds before rounding, for protocols with fractions of seconds.
	RetryAfter time.Duration `json:"-"`
	// IdempotencyKey is an issued key; set with the reason key_required.
	IdempotencyKey string `json:"idempotencyKey,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Reason, p.Outcome, p.Detail)
}

// WithRetryAfter returns a copy that asks the caller to retry after d. RetryAfterSeconds is
// rounded up to whole seconds and is at least 1.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	c := *p
	c.RetryAfter = d
	c.RetryAfterSeconds = int((d + time.Second - 1) / time.Second)
	if c.RetryAfterSeconds < 1 {
		c.RetryAfterSeconds = 1
	}
	return &c
}

// Refuse returns a Problem with the outcome not-run.
func Refuse(r Reason, format string, args ...any) *Problem {
	return newProblem(NotRun, r, fmt.Sprintf(format, args...))
}

// UnknownOutcome returns a Problem with the outcome unknown.
func UnknownOutcome(r Reason, format string, args ...any) *Problem {
	return newProblem(Unknown, r, fmt.Sprintf(format, args...))
}

// WithAttemptNotRun returns a copy with the attempt outcome not-run.
func (p *Problem) WithAttemptNotRun() *Problem {
	c := *p
	c.AttemptOutcome = NotRun
	return &c
}

// WithUnknownAttempt returns a copy for an attempt that may have reached the issuer of its key before.
func (p *Problem) WithUnknownAttempt() *Problem {
	c := *p
	c.AttemptOutcome = ""
	return &c
}

// WithUnknownOutcome returns a copy for a refusal that was decided without asking the issuer of
// the request's key: this attempt did not run, but another one may have.
func (p *Problem) WithUnknownOutcome() *Problem {
	c := p.WithAttemptNotRun()
	c.Outcome = Unknown
	return c
}

func newProblem(o Outcome, r Reason, detail string) *Problem {
	return &Problem{
		Type:    "urn:tacktally:reason:" + string(r),
		Title:   http.StatusText(r.HTTPStatus()),
		Status:  r.HTTPStatus(),
		Detail:  detail,
		Outcome: o,
		Reason:  r,
	}
}

var statusByReason = map[Reason]int{
	ReasonInvalidRequest:      http.StatusBadRequest,
	ReasonBodyTooLarge:        http.StatusRequestEntityTooLarge,
	ReasonUnknownAPIKey:       http.StatusUnauthorized,
	ReasonTierNotAllowed:      http.StatusForbidden,
	ReasonUnknownTier:         http.StatusBadRequest,
	ReasonUnknownModel:        http.StatusNotFound,
	ReasonUnknownService:      http.StatusNotFound,
	ReasonNoRoute:             http.StatusNotFound,
	ReasonPromptTooLong:       http.StatusBadRequest,
	ReasonDeadlinePast:        http.StatusBadRequest,
	ReasonKeyRequired:         http.StatusPreconditionRequired,
	ReasonKeyInvalid:          http.StatusBadRequest,
	ReasonKeyMismatch:         http.StatusUnprocessableEntity,
	ReasonKeyLimit:            http.StatusTooManyRequests,
	ReasonQueueFull:           http.StatusTooManyRequests,
	ReasonDisplaced:           http.StatusTooManyRequests,
	ReasonPredictedLate:       http.StatusTooManyRequests,
	ReasonDeadlineTooShort:    http.StatusBadRequest,
	ReasonOrganisationLimit:   http.StatusTooManyRequests,
	ReasonKeyExpired:          http.StatusConflict,
	ReasonIssuerGone:          http.StatusConflict,
	ReasonNotFirstAttempt:     http.StatusConflict,
	ReasonAnswerEvicted:       http.StatusGone,
	ReasonUpstreamLost:        http.StatusBadGateway,
	ReasonUpstreamCut:         http.StatusBadGateway,
	ReasonUpstreamEndUnstated: http.StatusBadGateway,
	ReasonUpstreamGarbage:     http.StatusBadGateway,
	ReasonUpstreamRefused:     http.StatusBadGateway,
	ReasonRetryBudget:         http.StatusBadGateway,
	ReasonCrashesUpstreams:    http.StatusUnprocessableEntity,
	ReasonUpstreamTimeout:     http.StatusGatewayTimeout,
	ReasonDeadlineExpired:     http.StatusGatewayTimeout,
}

// HTTPStatus returns the HTTP status of the reason; 503 if none is listed.
func (r Reason) HTTPStatus() int {
	if s, ok := statusByReason[r]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}
