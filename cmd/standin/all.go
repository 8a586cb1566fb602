package main

import (
	"bytes"
	"io"
	"net/http"
)

// maxControl bounds the body of a control call, in bytes.
const maxControl = 4 << 20

// serveAll passes a control call to all instances and answers with their
// answers as a JSON array; the worst status is the answer's.
func serveAll(members []member, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControl))
	if err != nil {
		http.Error(w, "unreadable body", http.StatusBadRequest)
		return
	}
	status := http.StatusOK
	var joined bytes.Buffer
	joined.WriteString("[")
	for i, m := range members {
		if i > 0 {
			joined.WriteString(",")
		}
		part := &recorder{header: make(http.Header), status: http.StatusOK}
		again := r.Clone(r.Context())
		again.Body = io.NopCloser(bytes.NewReader(body))
		m.control.ServeHTTP(part, again)
		status = max(status, part.status)
		joined.Write(part.body.Bytes())
	}
	joined.WriteString("]\n")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(joined.Bytes())
}

// recorder keeps one instance's answer.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) WriteHeader(status int)      { r.status = status }
func (r *recorder) Write(p []byte) (int, error) { return r.body.Write(p) }
