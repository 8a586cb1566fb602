package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/routing"
)

// Caller is what a caller's header says of its request.
type Caller struct {
	// ID is unique to this attempt of the caller.
	ID string
	// Key is the API key, empty if there is none.
	Key string
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout     time.Duration
	Prompt      dispatch.Prompt
	ResumeAfter string
}

// Forwarding is what the router states to the upstream.
type Forwarding struct {
	Organisation string
	// Instance is the upstream that is meant; any other refuses the request.
	Instance string
	// Timeout is the time left.
	Timeout     time.Duration
	FetchFrom   string
	ResumeAfter string
	// Continue names the memory that the request goes on from.
	Continue string
}

// AnswerInfo is what an upstream's header says of its answer.
type AnswerInfo struct {
	// NotRun means that the request has not run and will not.
	NotRun bool
	// Replaced means that another instance than the one that was meant answered.
	Replaced bool
	// Sealed means that the upstream vouches for the answer.
	Sealed bool
	// Leaving means that the upstream is about to stop.
	Leaving bool
	// HoldOff is for how long the upstream wants no requests from this router.
	HoldOff time.Duration
}

// Protocol translates the headers of the platform. It is safe for concurrent
// use.
type Protocol interface {
	// Caller reads the header of a caller's request. The error names the field.
	Caller(h http.Header) (Caller, error)
	// Forward makes the header for the upstream out of the caller's.
	Forward(from http.Header, f Forwarding) http.Header
	// Mine reports whether an answer is that to the request with the id.
	Mine(status int, answer http.Header, id string) bool
	// Answer reads the header of an answer of the instance that was meant.
	Answer(status int, h http.Header, instance string) AnswerInfo
}

// Mover hands running streams over between upstreams. It is safe for concurrent
// use.
type Mover interface {
	// Copy copies the memory of a running request to another upstream. With last
	// the request stops first. The copy has to be taken up or freed by its handle.
	// With last, a handle may come although the copy failed: the memory is then
	// still at the source.
	Copy(ctx context.Context, source, requestID, target string, last bool) (handle string, copied bool, err error)
	// Free gives up a copy.
	Free(ctx context.Context, source, handle string) error
}

// Directory decodes what operators and upstreams write to the store.
type Directory interface {
	// ConfigKey is the key of the configuration, and InstancePrefix that of
	// upstreams.
	ConfigKey() string
	InstancePrefix() string
	// Table decodes the configuration.
	Table(value []byte) (*routing.Table, error)
	// Instance decodes an upstream's entry. The error says why it names none.
	Instance(key string, value []byte) (dispatch.Instance, error)
}
