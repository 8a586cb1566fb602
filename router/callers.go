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

// Headers between callers and routers.
const (
	HeaderOutcome   = "Jujubeford-Outcome"
	HeaderRequestID = "Jujubeford-Request-Id"
	HeaderReason    = "Jujubeford-Reason"
	// HeaderFingerprint is the fingerprint of a request that was refused as poison;
	// an operator needs it to release the request.
	HeaderFingerprint = "Jujubeford-Fingerprint"
	// HeaderTimeout is how long the caller waits for the answer, such as "2s".
	HeaderTimeout        = "Jujubeford-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
)

const (
	chatPath   = "/v1/chat/completions"
	modelsPath = "/v1/models"
	// minPrefixBytes is the length of the shortest first message that is worth
	// caching as a prefix; shorter ones get no preferred upstream.
	minPrefixBytes = 64
	// bytesPerToken is the assumed average length of a prompt token.
	bytesPerToken = 4
	// bodyReadTimeout bounds the time a caller may take to send its body.
	bodyReadTimeout = 30 * time.Second
	// retryAfterBusy is the Retry-After of a router that drains or has no memory
	// left for request bodies.
	retryAfterBusy = time.Second
	// retryAfterNotReady is the Retry-After of a router that is not ready.
	retryAfterNotReady = 2 * time.Second
)

// callerMux returns the HTTP handler for callers.
func (r *Router) callerMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+modelsPath, r.listModels)
	mux.HandleFunc("/", r.serveCaller)
	return mux
}

// serveCaller admits one request, or refuses it, and handles it until it ends.
func (r *Router) serveCaller(w http.ResponseWriter, req *http.Request) {
	id := r.newRequestID()
	w.Header().Set(HeaderRequestID, string(id))
	c, arrival, refusal := r.admit(w, req, id)
	if refusal != nil {
		refusal.Request = id
		r.recordRefusal(*refusal)
		writeRefusal(w, *refusal)
		return
	}
	defer r.bodyMemory.release(c.reserved)
	// Clear the write deadline: it must not apply to the next answer on this
	// connection.
	defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) }()
	r.addCall(c)
	defer r.removeCall(c)
	r.records.start(id, c.organisation, c.service.Name, time.Now())
	r.post(*arrival)
	r.runCall(w, req, c)
}

// newRequestID returns a new request id: the router's id, which includes its
// incarnation, a hyphen and a serial number.
func (r *Router) newRequestID() core.RequestID {
	return core.RequestID(fmt.Sprintf("%s-%d", r.self.ID, r.serial.Add(1)))
}

// admit checks the caller's key, reserves memory for the body, reads and parses the
// request. It returns either the call and its RequestArrived event or a refusal;
// memory stays reserved only for a call.
func (r *Router) admit(w http.ResponseWriter, req *http.Request, id core.RequestID) (*call, *core.RequestArrived, *core.Refuse) {
	index := r.index.Load()
	switch {
	case r.draining.Load():
		return nil, nil, newRefusalWithRetry(core.ReasonDraining, retryAfterBusy)
	case index == nil || !r.ready.Load():
		return nil, nil, newRefusalWithRetry(core.ReasonNotReady, retryAfterNotReady)
	}
	org, ok := index.Organisation(bearerToken(req))
	if !ok {
		return nil, nil, newRefusal(http.StatusUnauthorized, core.ReasonUnknownKey)
	}
	reserved := req.ContentLength
	if reserved < 0 {
		reserved = int64(r.options.MaxBody)
	}
	if reserved > int64(r.options.MaxBody) {
		return nil, nil, newRefusal(http.StatusRequestEntityTooLarge, core.ReasonTooLarge)
	}
	if !r.bodyMemory.reserve(reserved) {
		return nil, nil, newRefusalWithRetry(core.ReasonQueueFull, retryAfterBusy)
	}
	body, refusal := r.readBody(w, req)
	if refusal != nil {
		r.bodyMemory.release(reserved)
		return nil, nil, refusal
	}
	c, arrival, refusal := r.parseRequest(index, org, id, req, body)
	if refusal != nil {
		r.bodyMemory.release(reserved)
		return nil, nil, refusal
	}
	c.reserved = reserved
	return c, arrival, nil
}

// readBody reads a request's body within MaxBody and bodyReadTimeout.
func (r *Router) readBody(w http.ResponseWriter, req *http.Request) ([]byte, *core.Refuse) {
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, int64(r.options.MaxBody)))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, newRefusal(http.StatusRequestEntityTooLarge, core.ReasonTooLarge)
	case err != nil:
		return nil, newRefusal(http.StatusBadRequest, core.ReasonBadRequest)
	}
	return body, nil
}

// parseRequest turns an HTTP request into a call and its RequestArrived event, or a
// refusal.
func (r *Router) parseRequest(
	index *config.Index, org *config.Organisation, id core.RequestID, req *http.Request, body []byte,
) (*call, *core.RequestArrived, *core.Refuse) {
	arrival := &core.RequestArrived{
		Request: id, Organisation: org.Name, Method: req.Method, Path: req.URL.Path,
		Key: req.Header.Get(headerIdempotencyKey),
	}
	sv, refusal := findService(index, req, body, arrival)
	if refusal != nil {
		return nil, nil, refusal
	}
	if !org.Reaches(sv.Name) {
		return nil, nil, newRefusal(http.StatusForbidden, core.ReasonForbidden)
	}
	if refusal := parseTimeout(req, arrival); refusal != nil {
		return nil, nil, refusal
	}
	_, arrival.AtMostOnce = index.Once(sv.Name, req.Method, req.URL.Path)
	arrival.Service, arrival.Idempotent = sv.Name, sv.Idempotent
	arrival.Fingerprint = fingerprint(req, body)
	return &call{
		id: id, organisation: org.Name, service: sv, method: req.Method, path: req.URL.RequestURI(),
		header: req.Header, body: body, atMostOnce: arrival.AtMostOnce, fingerprint: arrival.Fingerprint,
		commands: make(chan core.Effect, commandQueueSize), attempts: make(map[core.Attempt]*attempt),
	}, arrival, nil
}

// newRefusalWithRetry returns a 503 refusal that asks the caller to retry after a
// delay.
func newRefusalWithRetry(reason core.Reason, retry time.Duration) *core.Refuse {
	r := newRefusal(http.StatusServiceUnavailable, reason)
	r.RetryAfter = retry
	return r
}

// newRefusal returns a refusal of a request of which nothing has run.
func newRefusal(status int, reason core.Reason) *core.Refuse {
	return &core.Refuse{Status: status, Outcome: core.NotRun, Reason: reason}
}

// bearerToken returns the token of the Authorization header, or "" if there is none.
func bearerToken(req *http.Request) string {
	key, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

// chatRequest holds the fields of a chat completion request that the router uses.
type chatRequest struct {
	Model     string `json:"model"`
	MaxTokens uint64 `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens uint64 `json:"max_completion_tokens"`
	Messages            []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// findService finds the service of a request: by the model of a chat completion, and
// by the path of any other request. For a chat completion it also sets the cost hint
// and prefix hash of arrival.
func findService(index *config.Index, req *http.Request, body []byte, arrival *core.RequestArrived) (*config.Service, *core.Refuse) {
	if req.URL.Path != chatPath {
		sv, ok := index.Path(req.URL.Path)
		if !ok {
			return nil, newRefusal(http.StatusNotFound, core.ReasonUnknownService)
		}
		return sv, nil
	}
	var request chatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, newRefusal(http.StatusBadRequest, core.ReasonBadRequest)
	}
	sv, ok := index.Model(request.Model)
	if !ok {
		return nil, newRefusal(http.StatusNotFound, core.ReasonUnknownService)
	}
	if tokens := max(request.MaxTokens, request.MaxCompletionTokens); tokens > 0 {
		arrival.CostHint = tokens + uint64(len(body))/bytesPerToken
	}
	if len(request.Messages) > 0 && len(request.Messages[0].Content) >= minPrefixBytes {
		arrival.PrefixHash = xxhash.Sum64(request.Messages[0].Content)
	}
	return sv, nil
}

// parseTimeout sets the deadline of arrival from HeaderTimeout, if the caller sent it.
func parseTimeout(req *http.Request, arrival *core.RequestArrived) *core.Refuse {
	value := req.Header.Get(HeaderTimeout)
	if value == "" {
		return nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		return newRefusal(http.StatusBadRequest, core.ReasonBadRequest)
	}
	arrival.Deadline = time.Now().Add(d)
	return nil
}

// fingerprint returns the SHA-256 of a request's method, path with query, and body.
// Each part is preceded by its length, so that parts cannot run into each other.
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

// listModels answers with the models that the caller's organisation may use.
func (r *Router) listModels(w http.ResponseWriter, req *http.Request) {
	index := r.index.Load()
	if index == nil {
		writeRefusal(w, core.Refuse{Status: http.StatusServiceUnavailable, Outcome: core.NotRun, Reason: core.ReasonNotReady, RetryAfter: retryAfterNotReady})
		return
	}
	org, ok := index.Organisation(bearerToken(req))
	if !ok {
		writeRefusal(w, *newRefusal(http.StatusUnauthorized, core.ReasonUnknownKey))
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
