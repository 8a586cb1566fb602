package upstream

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/jujubeford/jujubeford/config"
)

// Headers of the protocol between routers and upstreams.
const (
	// HeaderRequestID and HeaderAttempt are set on each request.
	HeaderRequestID = "X-Request-Id"
	HeaderAttempt   = "X-Attempt"
	// HeaderOutcome with the value OutcomeNotRun and status 503 states that the
	// upstream did not run the request.
	HeaderOutcome = "Jujubeford-Outcome"
	OutcomeNotRun = "not-run"
	// HeaderLeaving with the value LeavingTrue states that the upstream is leaving.
	HeaderLeaving = "Jujubeford-Leaving"
	LeavingTrue   = "true"
	// HeaderStream names the stream in the response; upstreams may omit it.
	HeaderStream = "Jujubeford-Stream"
	// HeaderLastEventID names the last chunk of a stream that has arrived.
	HeaderLastEventID = "Last-Event-Id"
)

// hopByHopHeaders lists the headers that apply to one connection only.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// protocolHeaders lists the headers that only upstreams and routers exchange;
// callers neither set nor see them.
var protocolHeaders = []string{HeaderOutcome, HeaderLeaving, HeaderStream}

// withheldHeaders lists the request headers that are not forwarded to the upstream.
var withheldHeaders = []string{"Authorization", "Host", "Content-Length"}

// requestHeader builds the header that is sent to the upstream.
func requestHeader(r *Request) http.Header {
	h := endToEnd(r.Header)
	deleteHeaders(h, withheldHeaders)
	h.Set(HeaderRequestID, string(r.RequestID))
	h.Set(HeaderAttempt, strconv.Itoa(int(r.Attempt)))
	if r.Service == config.Model {
		// The router parses the stream, so it must not be compressed.
		h.Del("Accept-Encoding")
		h.Del(HeaderLastEventID)
	}
	if r.Resume != nil {
		h.Set(HeaderLastEventID, r.Resume.eventID())
	}
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own User-Agent.
		h["User-Agent"] = []string{""}
	}
	return h
}

// endToEnd returns a copy of h without the headers that apply to one connection
// only and those that upstreams and routers exchange.
func endToEnd(h http.Header) http.Header {
	forwarded := h.Clone()
	if forwarded == nil {
		forwarded = http.Header{}
	}
	for _, list := range forwarded["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	deleteHeaders(forwarded, hopByHopHeaders)
	deleteHeaders(forwarded, protocolHeaders)
	return forwarded
}

func deleteHeaders(h http.Header, names []string) {
	for _, name := range names {
		h.Del(name)
	}
}

// isLeaving reports whether the upstream stated that it is leaving.
func isLeaving(h http.Header) bool { return h.Get(HeaderLeaving) == LeavingTrue }

// isNotRun reports whether the upstream stated that it did not run the request.
func isNotRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == OutcomeNotRun
}
