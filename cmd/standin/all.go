package main

import (
	"bytes"
	"io"
	"net/http"
)

// maxControlBody bounds the body of a control request.
const maxControlBody = 4 << 20

// broadcastControl forwards a control request to all instances and answers with a JSON
// array of their answers. The status is the highest of theirs.
func broadcastControl(instances []servedInstance, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBody))
	if err != nil {
		http.Error(w, "unreadable body", http.StatusBadRequest)
		return
	}
	status := http.StatusOK
	var joined bytes.Buffer
	joined.WriteString("[")
	for i, instance := range instances {
		if i > 0 {
			joined.WriteString(",")
		}
		rec := &responseRecorder{header: make(http.Header), status: http.StatusOK}
		copied := r.Clone(r.Context())
		copied.Body = io.NopCloser(bytes.NewReader(body))
		instance.control.ServeHTTP(rec, copied)
		status = max(status, rec.status)
		joined.Write(rec.body.Bytes())
	}
	joined.WriteString("]\n")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(joined.Bytes())
}

// responseRecorder records the answer of one instance.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *responseRecorder) Header() http.Header         { return r.header }
func (r *responseRecorder) WriteHeader(status int)      { r.status = status }
func (r *responseRecorder) Write(p []byte) (int, error) { return r.body.Write(p) }
