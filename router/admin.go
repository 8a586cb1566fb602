package router

import (
	"encoding/json"
	"net/http"
)

// adminMux returns the HTTP handler for operators and for queries of other routers.
func (r *Router) adminMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", r.metrics.handler())
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", r.serveReady)
	mux.HandleFunc("GET /v1/status", r.serveStatus)
	mux.HandleFunc("GET /v1/explain/{id}", r.serveExplain)
	mux.HandleFunc("GET /v1/report", r.serveReport)
	mux.HandleFunc("POST "+ReleasePath, r.serveRelease)
	mux.HandleFunc("GET "+queryPath+"{kind}", r.serveQuery)
	return mux
}

// serveReady answers 200 if the router accepts requests, and 503 otherwise.
func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}
