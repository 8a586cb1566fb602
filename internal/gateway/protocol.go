package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/exchange"
	"github.com/jujubeford/jujubeford/internal/routing"
)

// Caller is the information in a caller's request header.
type Caller struct {
	// ID is unique to this attempt of the caller.
	ID string
	// Key is the API key, empty if there is none.
	Key string
	// Timeout is how long the caller waits; 0 if it sets none.
	Timeout     time.Duration
	Prompt      dispatch.Prompt
	ResumeAfter string
}

// Forwarding is the information that the router adds to the header for the upstream.
type Forwarding struct {
	Organisation string
	// Instance is the upstream that the request is intended for; any other refuses it.
	Instance string
	// Timeout is the time left for the request.
	Timeout     time.Duration
	FetchFrom   string
	ResumeAfter string
	// ContinueFrom names the memory from which the request continues.
	ContinueFrom string
}

// AnswerInfo is the information in the header of an upstream's answer.
type AnswerInfo struct {
	// NotRun means that the request has not run and will not.
	NotRun bool
	// Replaced means that the answer comes from another instance than the intended one.
	Replaced bool
	// Sealed means that the answer carries the upstream's seal. A successful answer
	// without one is not forwarded.
	Sealed bool
	// Leaving means that the upstream is about to stop.
	Leaving bool
	// HoldOff is how long the upstream wants no requests from this router.
	HoldOff time.Duration
	// Limit is the number of requests a second that the upstream takes from all routers
	// together, 0 if it names no limit. LimitUnknown means that it could not be read.
	Limit        float64
	LimitUnknown bool
	// Cold is how long the upstream stays cold, 0 if it does not say. ColdUnknown means
	// that it could not be read.
	Cold        time.Duration
	ColdUnknown bool
}

// Protocol translates between the platform's headers and the gateway. It is safe for
// concurrent use.
type Protocol interface {
	// Caller parses the header of a caller's request. The error names the invalid
	// field.
	Caller(h http.Header) (Caller, error)
	// Forward builds the header for the upstream from the caller's header.
	Forward(from http.Header, f Forwarding) http.Header
	// Ownership tells whether an answer belongs to the request with the given id.
	Ownership(status int, answer http.Header, id string) exchange.Ownership
	// Answer parses the header of an answer to a request intended for the given
	// instance.
	Answer(status int, h http.Header, instance string) AnswerInfo
}

var (
	// ErrNotRunning means that an upstream does not run the request that it was asked to move.
	ErrNotRunning = errors.New("the upstream does not run the request")
	// ErrMoveRefused means that an upstream refused to move a request, which goes on there.
	ErrMoveRefused = errors.New("the upstream refused the move")
)

// Mover moves running streams between upstreams. It is safe for concurrent use.
type Mover interface {
	// Copy copies the memory of a running request to another upstream. If last is set,
	// the request is stopped first. The copy has to be continued from, or freed by its
	// handle. If last is set, a handle may be returned although the copy failed: the
	// memory is then still at the source. The error is ErrNotRunning if the source does not
	// run the request (any more), and ErrMoveRefused if it did not stop it either.
	Copy(ctx context.Context, source, requestID, target string, last bool) (handle string, copied bool, err error)
	// Free releases a copy.
	Free(ctx context.Context, source, handle string) error
}

// Directory decodes what operators and upstreams write to the store.
type Directory interface {
	// ConfigKey is the key of the configuration, and InstancePrefix the prefix of the
	// keys of upstreams.
	ConfigKey() string
	InstancePrefix() string
	// EvacuationPrefix is the prefix of the keys that request the evacuation of a failure
	// domain; the rest of a key is the domain's name.
	EvacuationPrefix() string
	// Table decodes the configuration.
	Table(value []byte) (*routing.Table, error)
	// Instance decodes an upstream's entry. The error says why the entry is invalid.
	Instance(key string, value []byte) (dispatch.Instance, error)
}
