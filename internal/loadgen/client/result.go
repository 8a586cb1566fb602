// Package client sends requests to routers and checks their answers.
package client

import "time"

// End is the way in which a request ended, as its caller saw it.
type End string

// Ways in which a request can end.
const (
	// Complete means that the answer is complete and belongs to the request.
	Complete End = "whole"
	// Refused means that the router refused the request with an error status,
	// before any part of the answer.
	Refused End = "refused"
	// Failed means that an explicit error followed after the answer had started,
	// or that the connection broke.
	Failed End = "failed"
	// Truncated means that the answer ended without an error but is incomplete.
	Truncated End = "cut"
	// Mismatched means that the answer belongs to another request or repeats tokens.
	Mismatched End = "foreign"
	// Unanswered means that the run ended before the answer was complete, or
	// before the request was sent.
	Unanswered End = "unanswered"
)

// Result records what happened to one request. Times are since the start of the
// run.
type Result struct {
	ID           int           `json:"id"`
	Organisation int           `json:"organisation"`
	Kind         int           `json:"kind"`
	Phase        int           `json:"phase"`
	Router       int           `json:"router"`
	IntendedSend time.Duration `json:"intended"`
	// FirstByteAt is the time of the first token of a model answer, or the time at
	// which a plain answer was read; 0 if there was none.
	FirstByteAt time.Duration `json:"first"`
	// EndedAt is the time at which the request ended, in any way.
	EndedAt time.Duration `json:"last"`
	End     End           `json:"end"`
	// Status is the HTTP status; 0 if no response was received.
	Status int `json:"status"`
	// Outcome, Reason and RequestID are the router's headers or trailers of these
	// names; RequestID is the router's own id of the request.
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	RequestID string `json:"request_id"`
	// RetryAfter reports whether the response had a Retry-After header.
	RetryAfter bool `json:"retry_after"`
	// TokenTimes are the times at which the tokens were received.
	TokenTimes []time.Duration `json:"tokens,omitempty"`
	// ExpectedTokens is the number of tokens in a complete answer.
	ExpectedTokens int `json:"want"`
	// Name is the request's name in the trace, Key its idempotency key or empty.
	Name string `json:"name"`
	Key  string `json:"key,omitempty"`
	// Model reports whether this is a model request and not a plain one.
	Model bool `json:"model"`
	// Error describes the failure; empty if there was none.
	Error string `json:"error,omitempty"`
}
