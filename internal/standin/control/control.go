// Package control provides the JSON request and response handling that the
// control ports of the stand-ins share.
package control

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// maxBody bounds the body of a control request, in bytes.
const maxBody = 4 << 20

// Millis is a duration that is encoded in JSON as a number of milliseconds.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// ReadJSON decodes a request's JSON body. It returns an error for unknown fields
// and for an empty body.
func ReadJSON(r *http.Request, into any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	decoder.DisallowUnknownFields()
	return errors.Wrap(decoder.Decode(into), "control request")
}

// WriteJSON writes value as an indented JSON body.
func WriteJSON(w http.ResponseWriter, value any) {
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		panic(err) // cannot happen: callers pass only types that can be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n'))
}

// HandleJSON returns a handler that decodes the request body, calls apply with
// it, and answers with the same value, or with status 400 if either fails.
func HandleJSON[T any](apply func(r *http.Request, value T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if err := ReadJSON(r, &value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := apply(r, value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		WriteJSON(w, value)
	}
}

// Leaving is the request body that sets whether an instance is leaving.
type Leaving struct {
	Leaving bool `json:"leaving"`
}
