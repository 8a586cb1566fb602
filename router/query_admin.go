package router

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/reducer"
)

const (
	queryPath = "/v1/query/"
	// maxAnswerBytes bounds another router's answer, in bytes.
	maxAnswerBytes = 16 << 20
	// maxErrorBytes bounds the text of its refusal, in bytes.
	maxErrorBytes = 1 << 10
)

// queryAdminPort puts a question to a router's port for operators. In a large fleet
// most routers have no connection to each other, and opening one for a question
// would be news to the membership protocol.
func (r *Router) queryAdminPort(ctx context.Context, to core.RouterID, kind queryKind, arg string) ([]byte, error) {
	var addr string
	r.withState(ctx, func(s *reducer.State) { addr = s.AdminAddr(to) })
	if addr == "" {
		return nil, errors.Errorf("no address of router %s is known here", to)
	}
	values := url.Values{"router": {string(to)}, "arg": {arg}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+queryPath+string(kind)+"?"+values.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "make the question")
	}
	resp, err := r.queryClient.Do(req)
	if err != nil {
		return nil, errors.Errorf("router %s cannot be reached", to)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return nil, errors.New(strings.TrimSpace(string(text)))
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return data, errors.Wrapf(err, "read the answer of router %s", to)
}

// newQueryClient returns the client for such questions, which keeps no connections.
func newQueryClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// serveQuery answers a router that has no connection to this one.
func (r *Router) serveQuery(w http.ResponseWriter, req *http.Request) {
	if to := req.URL.Query().Get("router"); core.RouterID(to) != r.self.ID {
		http.Error(w, "here is router "+string(r.self.ID)+", not "+to, http.StatusNotFound)
		return
	}
	if !r.queries.acquireReplySlot() {
		http.Error(w, errBusy.Error(), http.StatusServiceUnavailable)
		return
	}
	defer r.queries.releaseReplySlot()
	data, err := r.document(req.Context(), queryKind(req.PathValue("kind")), req.URL.Query().Get("arg"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}
