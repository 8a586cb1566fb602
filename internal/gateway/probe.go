package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"strconv"
	"strings"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/exchange"
	"github.com/jujubeford/jujubeford/internal/holding"
	"github.com/jujubeford/jujubeford/internal/logs"
)

// fingerprint returns a number that repetitions of a request by its organisation share:
// a hash of organisation, method, host, path and body.
func fingerprint(org string, r *http.Request, body holding.Body) uint64 {
	h := sha256.New()
	for _, field := range []string{org, r.Method, r.Host, r.RequestURI} {
		h.Write([]byte(field))
		h.Write([]byte{0})
	}
	for _, part := range body {
		h.Write(part)
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// partIDs lists the ids of a prompt's parts, for logs.
func partIDs(p dispatch.Prompt) string {
	ids := make([]string, 0, len(p.Parts))
	for _, part := range p.Parts {
		ids = append(ids, strconv.FormatUint(part.ID, 16))
	}
	return strings.Join(ids, ",")
}

// probe connects to an upstream whose connections broke and tells the dispatcher whether
// it still listens.
func (g *Gateway) probe(e dispatch.Probe) {
	failure := g.client.Probe(context.Background(), e.Upstream.Addr)
	refused := failure != nil && failure.Unreachable()
	if refused {
		logs.Info("crashed", "Gateway: upstream crashed.", "upstream", e.Upstream.ID, "addr", e.Upstream.Addr,
			"started", e.Upstream.Started, "id", e.ID)
	} else {
		logs.Info("probed", "Gateway: upstream lost connections.", "upstream", e.Upstream.ID, "addr", e.Upstream.Addr,
			"started", e.Upstream.Started, "id", e.ID, "failure", failureText(failure))
	}
	g.step(dispatch.Probed{Upstream: e.Upstream, Connected: failure == nil, Refused: refused})
}

// failureText describes a failure for logs; it is empty if there is none.
func failureText(f *exchange.Failure) string {
	if f == nil {
		return ""
	}
	return f.Error()
}
