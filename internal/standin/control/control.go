// Package control has what the control ports of the stand-ins share: JSON
// bodies in, JSON answers out.
package control

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// maxBody bounds a control request, in bytes.
const maxBody = 4 << 20

// Millis is a duration that JSON writes as a number of milliseconds.
type Millis int64

// Duration is m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// ReadJSON decodes a request's JSON body; unknown fields and an empty body are
// errors.
func ReadJSON(r *http.Request, into any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	decoder.DisallowUnknownFields()
	return errors.Wrap(decoder.Decode(into), "control request")
}

// WriteJSON writes value as JSON.
func WriteJSON(w http.ResponseWriter, value any) {
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		panic(err) // the values are the stand-ins' own types
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n'))
}

// HandleJSON makes a handler that decodes a T, applies it and answers it.
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

// Leaving is the body that starts or stops an instance's leaving.
type Leaving struct {
	Leaving bool `json:"leaving"`
}
