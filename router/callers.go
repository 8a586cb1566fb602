package router

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

// The headers between callers and routers.
const (
	HeaderOutcome   = "Jujubeford-Outcome"
	HeaderRequestID = "Jujubeford-Request-Id"
	HeaderReason    = "Jujubeford-Reason"
	// HeaderFingerprint names a request that is refused as poison, for an operator
	// who releases it.
	HeaderFingerprint = "Jujubeford-Fingerprint"
	// HeaderTimeout is how long the caller will wait, such as "2s".
	HeaderTimeout        = "Jujubeford-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
)

const (
	chatPath   = "/v1/chat/completions"
	modelsPath = "/v1/models"
	// prefixMin is the shortest first message whose prefix is worth caching, in
	// bytes.
	prefixMin = 64
	// bytesPerToken is a rough length of a token of a prompt.
	bytesPerToken = 4
	// bodyTimeout bounds how long a caller may take to send its body.
	bodyTimeout = 30 * time.Second
	// retrySoon is when to come back to a router that drains or is full.
	retrySoon = time.Second
	// retryNotReady is when to come back to a router that has no configuration.
	retryNotReady = 2 * time.Second
)

func (r *Router) callerMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+modelsPath, r.listModels)
	mux.HandleFunc("/", r.serveCaller)
	return mux
}

// serveCaller takes one request from its caller to its end.
func (r *Router) serveCaller(w http.ResponseWriter, req *http.Request) {
	id := r.newRequestID()
	w.Header().Set(HeaderRequestID, string(id))
	c, arrive, refusal := r.take(w, req, id)
	if refusal != nil {
		refusal.Request = id
		r.refused(*refusal)
		refuse(w, *refusal)
		return
	}
	defer r.bodies.give(c.reserved)
	// Deadlines of this answer must not reach into the connection's next one.
	defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) }()
	r.addCall(c)
	defer r.removeCall(c)
	r.records.open(id, c.organisation, c.service.Name, time.Now())
	r.post(*arrive)
	r.converse(w, req, c)
}

func (r *Router) newRequestID() core.RequestID {
	return core.RequestID(fmt.Sprintf("%s-%d", r.self.ID, r.serial.Add(1)))
}

// take takes a request in, or refuses it.
func (r *Router) take(w http.ResponseWriter, req *http.Request, id core.RequestID) (*call, *core.Arrive, *core.Refuse) {
	index := r.index.Load()
	switch {
	case r.draining.Load():
		return nil, nil, refusalUntil(core.ReasonDraining, retrySoon)
	case index == nil || !r.ready.Load():
		return nil, nil, refusalUntil(core.ReasonNotReady, retryNotReady)
	}
	org, ok := index.Organisation(bearer(req))
	if !ok {
		return nil, nil, refusal(http.StatusUnauthorized, core.ReasonUnknownKey)
	}
	reserved := req.ContentLength
	if reserved < 0 {
		reserved = int64(r.options.MaxBody)
	}
	if reserved > int64(r.options.MaxBody) {
		return nil, nil, refusal(http.StatusRequestEntityTooLarge, core.ReasonTooLarge)
	}
	if !r.bodies.take(reserved) {
		return nil, nil, refusalUntil(core.ReasonQueueFull, retrySoon)
	}
	body, refused := r.readBody(w, req)
	if refused != nil {
		r.bodies.give(reserved)
		return nil, nil, refused
	}
	c, arrive, refused := r.understand(index, org, id, req, body)
	if refused != nil {
		r.bodies.give(reserved)
		return nil, nil, refused
	}
	c.reserved = reserved
	return c, arrive, nil
}

// readBody reads a request's body; a caller that stalls is given up.
func (r *Router) readBody(w http.ResponseWriter, req *http.Request) ([]byte, *core.Refuse) {
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, int64(r.options.MaxBody)))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, refusal(http.StatusRequestEntityTooLarge, core.ReasonTooLarge)
	case err != nil:
		return nil, refusal(http.StatusBadRequest, core.ReasonBadRequest)
	}
	return body, nil
}

// understand turns an HTTP request into an Arrive event, or a refusal.
func (r *Router) understand(
	index *config.Index, org *config.Organisation, id core.RequestID, req *http.Request, body []byte,
) (*call, *core.Arrive, *core.Refuse) {
	arrive := &core.Arrive{
		Request: id, Organisation: org.Name, Method: req.Method, Path: req.URL.Path,
		Key: req.Header.Get(headerIdempotencyKey),
	}
	sv, refused := findService(index, req, body, arrive)
	if refused != nil {
		return nil, nil, refused
	}
	if !org.Reaches(sv.Name) {
		return nil, nil, refusal(http.StatusForbidden, core.ReasonForbidden)
	}
	if refused := timeout(req, arrive); refused != nil {
		return nil, nil, refused
	}
	_, arrive.Once = index.Once(sv.Name, req.Method, req.URL.Path)
	arrive.Service, arrive.Idempotent = sv.Name, sv.Idempotent
	arrive.Body = fingerprint(req, body)
	return &call{
		id: id, organisation: org.Name, service: sv, method: req.Method, path: req.URL.RequestURI(),
		header: req.Header, body: body, once: arrive.Once, fingerprint: arrive.Body,
		commands: make(chan core.Effect, commandQueue), attempts: make(map[core.Attempt]*attempt),
	}, arrive, nil
}

func refusalUntil(reason core.Reason, retry time.Duration) *core.Refuse {
	r := refusal(http.StatusServiceUnavailable, reason)
	r.RetryAfter = retry
	return r
}

func refusal(status int, reason core.Reason) *core.Refuse {
	return &core.Refuse{Status: status, Outcome: core.NotRun, Reason: reason}
}

func bearer(req *http.Request) string {
	key, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

// completion is what is read of a chat completion request.
type completion struct {
	Model     string `json:"model"`
	MaxTokens uint64 `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens uint64 `json:"max_completion_tokens"`
	Messages            []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// findService finds the service a request is for: by its model, or by its path.
func findService(index *config.Index, req *http.Request, body []byte, arrive *core.Arrive) (*config.Service, *core.Refuse) {
	if req.URL.Path != chatPath {
		sv, ok := index.Path(req.URL.Path)
		if !ok {
			return nil, refusal(http.StatusNotFound, core.ReasonUnknownService)
		}
		return sv, nil
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, refusal(http.StatusBadRequest, core.ReasonBadRequest)
	}
	sv, ok := index.Model(c.Model)
	if !ok {
		return nil, refusal(http.StatusNotFound, core.ReasonUnknownService)
	}
	if tokens := max(c.MaxTokens, c.MaxCompletionTokens); tokens > 0 {
		arrive.Hint = tokens + uint64(len(body))/bytesPerToken
	}
	if len(c.Messages) > 0 && len(c.Messages[0].Content) >= prefixMin {
		arrive.Prefix = xxhash.Sum64(c.Messages[0].Content)
	}
	return sv, nil
}

func timeout(req *http.Request, arrive *core.Arrive) *core.Refuse {
	text := req.Header.Get(HeaderTimeout)
	if text == "" {
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return refusal(http.StatusBadRequest, core.ReasonBadRequest)
	}
	arrive.Deadline = time.Now().Add(d)
	return nil
}

// fingerprint names a request by its method, path and body.
func fingerprint(req *http.Request, body []byte) [32]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(req.Method), []byte(req.URL.RequestURI()), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return [32]byte(h.Sum(nil))
}

// listModels lists the models that the caller's organisation may reach.
func (r *Router) listModels(w http.ResponseWriter, req *http.Request) {
	index := r.index.Load()
	if index == nil {
		refuse(w, core.Refuse{Status: http.StatusServiceUnavailable, Outcome: core.NotRun, Reason: core.ReasonNotReady, RetryAfter: retryNotReady})
		return
	}
	org, ok := index.Organisation(bearer(req))
	if !ok {
		refuse(w, *refusal(http.StatusUnauthorized, core.ReasonUnknownKey))
		return
	}
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, name := range org.Services {
		if sv, ok := index.Service(name); ok && sv.Kind == config.Model {
			list.Data = append(list.Data, model{ID: sv.Model, Object: "model"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
