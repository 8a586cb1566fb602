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
	// maxAnswerBytes bounds another router's answer, and maxAnswerHeaderBytes its header.
	maxAnswerBytes       = 16 << 20
	maxAnswerHeaderBytes = 64 << 10
	// maxErrorBytes bounds the error text of another router.
	maxErrorBytes = 1 << 10
)

// queryAdminPort sends a query to a router's admin port. In a large fleet most routers
// have no peer connection to each other, and opening one for a query would report a new
// peer to the membership protocol.
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

// newQueryClient returns the client for queries to admin ports. It keeps no idle
// connections.
func newQueryClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxAnswerHeaderBytes}}
}

// serveQuery answers a query of a router that has no peer connection to this one. It
// rejects queries that are meant for another router.
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
