package gateway

import (
	"bytes"
	"log"
	"net/http"
	"strconv"
	"time"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/logs"
	"github.com/jujubeford/jujubeford/internal/resumption"
	"github.com/jujubeford/jujubeford/internal/routing"
	"github.com/jujubeford/jujubeford/internal/sockets"
)

// serverLog receives the messages that net/http logs about single connections.
var serverLog = log.New(serverLogWriter{}, "", 0)

type serverLogWriter struct{}

// Write implements io.Writer.
func (serverLogWriter) Write(p []byte) (int, error) {
	logs.Info("http", "Gateway: HTTP server message.", "message", string(bytes.TrimSpace(p)))
	return len(p), nil
}

// refusal is the answer to a request that ends before it is dispatched.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// reasonOverloaded is the reason of refusals for lack of processor time.
const reasonOverloaded = "router-overloaded"

// serveCaller handles one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	if conn, ok := connOf(r).(*callerConn); ok {
		defer conn.enterHandler()()
		if conn.closed.Load() {
			panic(http.ErrAbortHandler)
		}
		conn.unframed = !r.ProtoAtLeast(1, 1)
	}
	if g.draining.Load() || g.pressure.isHigh() || g.conns.crowded() || len(r.TransferEncoding) > 0 || offloadedFrom(r) != "" {
		// An offloaded connection takes processor time of two routers. Nothing is read after a chunked body: if an intermediary computes the body's
		// length differently, a second request may be smuggled in behind it.
		w.Header().Set("Connection", "close")
	}
	c, refused := g.acceptRequest(w, r)
	if refused != nil {
		g.refuse(w, r, refused)
		return
	}
	defer g.room.release(c.hold)
	size := int64(c.body.Len())
	g.bodies.Add(size)
	defer g.bodies.Add(-size)
	if callerDisconnected(r) {
		logs.Info("left", "Gateway: caller disconnected before its request was read.", "id", c.caller.ID, "route", c.request.Route.Name)
		g.metrics.recordRequest(c.request.Route.Kind.String(), "left", "", time.Since(c.started))
		return
	}
	if !g.addCall(c) {
		g.refuse(w, r, &refusal{status: http.StatusBadRequest, reason: "id-in-use"})
		return
	}
	defer g.removeCall(c)
	g.step(dispatch.Arrive{Request: c.request})
	g.executeEffects(w, r, c)
}

// callerDisconnected reports whether the caller has closed its connection. It checks
// the socket as well, because on a router short of processor time the request's context
// is cancelled late.
func callerDisconnected(r *http.Request) bool {
	conn := connOf(r)
	return r.Context().Err() != nil || conn != nil && sockets.ClosedByPeer(conn)
}

// addCall registers a call so that effects of the dispatcher reach it. It reports false
// if a call with the same key is in progress.
func (g *Gateway) addCall(c *call) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.calls[c.key] != nil {
		return false
	}
	g.calls[c.key] = c
	return true
}

func (g *Gateway) removeCall(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.calls, c.key)
}

// acceptRequest reads a request, admits it, and looks up its route and organisation.
func (g *Gateway) acceptRequest(w http.ResponseWriter, r *http.Request) (*call, *refusal) {
	started := time.Now()
	table := g.table.Load()
	if table == nil || !g.listed.Load() {
		return nil, &refusal{http.StatusServiceUnavailable, "not-ready", retryAfterNotReady}
	}
	if n := table.Limits.HeaderBytes; n > 0 && headerSize(r) > n {
		return nil, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header-too-large"}
	}
	if lacksLength(r) {
		return nil, &refusal{status: http.StatusBadRequest, reason: "body-unreadable"}
	}
	charged := g.conns.takeCharge(connOf(r))
	if g.pressure.shouldShed() {
		return nil, overloadRefusal(w)
	}
	if !charged.admitted {
		charged.admitted = g.pressure.admission.admit(started, false)
	}
	route := table.Match(r.Host, r.URL.EscapedPath())
	if route == nil {
		return nil, &refusal{status: http.StatusNotFound, reason: "no-route"}
	}
	caller, err := g.options.Protocol.Caller(r.Header)
	if err != nil {
		logs.Info("bad-header", "Gateway: request header cannot be parsed.", "err", err)
		return nil, &refusal{status: http.StatusBadRequest, reason: "bad-header"}
	}
	org, refused := authenticate(table, route, caller)
	if refused != nil {
		return nil, refused
	}
	timeout := callerTimeout(caller)
	if conn, ok := connOf(r).(*callerConn); ok && conn.offloaded {
		// Part of the time has passed at the router that has offloaded the request.
		if timeout = min(timeout, conn.expiresAt.Sub(started)); timeout <= 0 {
			return nil, &refusal{http.StatusServiceUnavailable, "expired", retryAfterOverload}
		}
	}
	if !g.hasTimeFor(started, route, timeout) {
		return nil, &refusal{http.StatusServiceUnavailable, "router-stopping", retryAfterStopping}
	}
	switch {
	case charged.attributed:
	case charged.admitted:
		g.pressure.admission.attribute(started, org)
	case !g.pressure.admission.admitUnderserved(started, org):
		g.pressure.admission.recordRefusal()
		return nil, overloadRefusal(w)
	}
	body, hold, refused := g.readBody(w, r, table.Limits, org, started, boundedBy(route, timeout))
	if refused != nil {
		return nil, refused
	}
	c := &call{
		key: caller.ID, caller: caller, header: r.Header, method: r.Method, target: r.RequestURI, host: r.Host,
		body: body, hold: hold, started: started, effects: make(chan dispatch.Effect, effectQueueSize), position: resumption.Start(caller.ResumeAfter, route.Kind.Repeatable()),
		offloadedFrom: offloadedFrom(r),
	}
	c.conn, _ = connOf(r).(*callerConn)
	c.startMove = func(e dispatch.Move) { g.move(c, e) }
	c.startProbe = g.probe
	c.reportAnswering = func(e dispatch.Abort) { g.step(dispatch.AbortDeclined(e)) }
	c.request = &dispatch.Request{
		ID: caller.ID, Organisation: org, Route: route, Service: route.SelectService(caller.ID),
		Prompt: caller.Prompt, Deadline: started.Add(timeout), ResumeAfter: caller.ResumeAfter,
		Fingerprint: fingerprint(org, r, body),
	}
	return c, nil
}

// boundedBy is how long a request on a route may last whose caller waits for a time.
func boundedBy(route *routing.Route, timeout time.Duration) time.Duration {
	if route.Timeout > 0 {
		return min(timeout, route.Timeout)
	}
	return timeout
}

// callerTimeout is how long a caller waits.
func callerTimeout(c Caller) time.Duration {
	if c.Timeout <= 0 {
		return defaultTimeout
	}
	return c.Timeout
}

// hasTimeFor reports whether a request may still be taken: always, unless this router is
// stopping and has been out of rotation for long enough that callers reach others, and the
// request may last longer than the router.
func (g *Gateway) hasTimeFor(now time.Time, route *routing.Route, timeout time.Duration) bool {
	if !g.draining.Load() || now.Sub(g.stopping) < rotationDelay {
		return true
	}
	return now.Add(boundedBy(route, timeout)).Before(g.stopEnd.Add(-endMargin))
}

// overloadRefusal refuses a request for lack of processor time and asks the caller to
// close its connection.
func overloadRefusal(w http.ResponseWriter) *refusal {
	w.Header().Set("Connection", "close")
	return &refusal{http.StatusServiceUnavailable, reasonOverloaded, retryAfterOverload}
}

// authenticate returns the organisation that owns the caller's key. A key without an
// owner is refused if keys are configured and the route is not public.
func authenticate(table *routing.Table, route *routing.Route, caller Caller) (string, *refusal) {
	org, ok := table.Organisation(caller.Key)
	if !ok && table.RequiresKey() && !route.Public {
		return "", &refusal{status: http.StatusUnauthorized, reason: "unknown-key"}
	}
	return org, nil
}

// organisationOf returns the organisation that owns a caller's key, for logs; empty if
// there is none.
func (g *Gateway) organisationOf(caller Caller) string {
	table := g.table.Load()
	if table == nil {
		return ""
	}
	org, _ := table.Organisation(caller.Key)
	return org
}

func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}

// refuse answers a request that was not dispatched.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, refused *refusal) {
	logs.InfoFunc("refused", "Gateway: request refused.", func() []any {
		// Caller returns the id even if another header is invalid; acceptRequest has
		// logged that error.
		caller, _ := g.options.Protocol.Caller(r.Header)
		return []any{"id", caller.ID, "org", g.organisationOf(caller), "host", r.Host, "path", r.URL.Path,
			"status", refused.status, "reason", refused.reason, "config", g.configVersion()}
	})
	g.metrics.recordRequest("", "refused", refused.reason, 0)
	if refused.retryAfter > 0 {
		g.metrics.recordRetryAfter(refused.reason, refused.retryAfter)
	}
	boundRefusal(w, r)
	writeStatus(w, refused.status, refused.retryAfter)
}

// configVersion is the version of the configuration in force, 0 if there is none.
func (g *Gateway) configVersion() uint64 { return tableVersion(g.table.Load()) }

// writeStatus writes an answer without a body that the router generates itself.
func writeStatus(w http.ResponseWriter, status int, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}
