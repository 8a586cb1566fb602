// Package client sends one request to a router and judges the answer.
package client

import "time"

// End is how a request ended for its caller.
type End string

// The ends of a request.
const (
	// Whole: the answer is complete and the caller's own.
	Whole End = "whole"
	// Refused: an explicit refusal before any of the answer.
	Refused End = "refused"
	// Failed: an explicit error after the answer had begun, or a broken
	// connection.
	Failed End = "failed"
	// Cut: the answer ended as if it were whole, but is not.
	Cut End = "cut"
	// Foreign: the answer belongs to another request or repeats a part.
	Foreign End = "foreign"
	// Unanswered: nothing came before the run was over.
	Unanswered End = "unanswered"
)

// Result is what happened to one request. Times count from the begin of the
// run.
type Result struct {
	ID           int           `json:"id"`
	Organisation int           `json:"organisation"`
	Kind         int           `json:"kind"`
	Phase        int           `json:"phase"`
	Router       int           `json:"router"`
	IntendedSend time.Duration `json:"intended"`
	// FirstByteAt is when the first byte of the body came; 0 if none did.
	FirstByteAt time.Duration `json:"first"`
	EndedAt     time.Duration `json:"last"`
	End         End           `json:"end"`
	// Status is the HTTP status; 0 if none came.
	Status     int    `json:"status"`
	Outcome    string `json:"outcome"`
	Reason     string `json:"reason"`
	RequestID  string `json:"request_id"`
	RetryAfter bool   `json:"retry_after"`
	// TokenTimes are the times at which tokens came.
	TokenTimes []time.Duration `json:"tokens,omitempty"`
	// ExpectedTokens is how many tokens make a whole answer.
	ExpectedTokens int `json:"want"`
	// Name is the request's name in the trace, Key its idempotency key, if any.
	Name string `json:"name"`
	Key  string `json:"key,omitempty"`
	// Model tells a model request from a plain one.
	Model bool `json:"model"`
	// Error is what broke, for people.
	Error string `json:"error,omitempty"`
}
