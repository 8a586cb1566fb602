package router

import (
	"encoding/hex"
	"encoding/json"
	"net/http"

	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	// ReleasePath is the admin path that accepts a Release.
	ReleasePath = "/v1/quarantine/release"
	// maxReleaseBytes bounds the body of a release request.
	maxReleaseBytes = 4 << 10
)

// Release identifies a request that is refused as poison and that an operator allows
// again.
type Release struct {
	Organisation string `json:"organisation"`
	// Fingerprint is the value of HeaderFingerprint in the refusal, in hex.
	Fingerprint string `json:"fingerprint"`
}

// serveRelease lifts the quarantine of a request on an operator's behalf. The routers
// propagate the release to each other.
func (r *Router) serveRelease(w http.ResponseWriter, req *http.Request) {
	var release Release
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxReleaseBytes)).Decode(&release); err != nil {
		http.Error(w, "not a release: "+err.Error(), http.StatusBadRequest)
		return
	}
	fingerprint, err := hex.DecodeString(release.Fingerprint)
	if err != nil || len(fingerprint) != 32 || release.Organisation == "" {
		http.Error(w, "a release needs an organisation and a fingerprint of 64 hex digits", http.StatusBadRequest)
		return
	}
	klog.InfoS("Router: quarantine lifted by an operator.", "organisation", release.Organisation, "fingerprint", release.Fingerprint)
	r.post(core.LiftQuarantine{Organisation: release.Organisation, Fingerprint: [32]byte(fingerprint)})
	w.WriteHeader(http.StatusAccepted)
}
