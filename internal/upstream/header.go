package upstream

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/jujubeford/jujubeford/config"
)

// The headers between routers and upstreams.
const (
	// HeaderRequestID and HeaderAttempt go out with each request.
	HeaderRequestID = "X-Request-Id"
	HeaderAttempt   = "X-Attempt"
	// HeaderOutcome with OutcomeNotRun and status 503 is how an upstream says that
	// it did not run the request.
	HeaderOutcome = "Jujubeford-Outcome"
	OutcomeNotRun = "not-run"
	// HeaderLeaving with LeavingTrue says that the upstream is leaving.
	HeaderLeaving = "Jujubeford-Leaving"
	LeavingTrue   = "true"
	// HeaderStream, if the upstream sets it, names the stream that follows.
	HeaderStream = "Jujubeford-Stream"
	// HeaderLastEventID names the last chunk that arrived of a stream.
	HeaderLastEventID = "Last-Event-Id"
)

// hopByHopHeaders lists the headers that hold for one connection only.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// protocolHeaders lists the headers that upstreams and routers say to each other;
// callers neither set nor see them.
var protocolHeaders = []string{HeaderOutcome, HeaderLeaving, HeaderStream}

// withheldHeaders lists the request headers that stay with the router.
var withheldHeaders = []string{"Authorization", "Host", "Content-Length"}

// requestHeader builds the header that goes to the upstream.
func requestHeader(r *Request) http.Header {
	h := endToEnd(r.Header)
	deleteHeaders(h, withheldHeaders)
	h.Set(HeaderRequestID, string(r.RequestID))
	h.Set(HeaderAttempt, strconv.Itoa(int(r.Attempt)))
	if r.Service == config.Model {
		// A stream is read on its way, so it must not be compressed.
		h.Del("Accept-Encoding")
		h.Del(HeaderLastEventID)
	}
	if r.Resume != nil {
		h.Set(HeaderLastEventID, r.Resume.eventID())
	}
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		h["User-Agent"] = []string{""}
	}
	return h
}

// endToEnd copies a header without what holds for one connection only and what
// is for the router.
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

// isLeaving reports whether the upstream said that it is leaving.
func isLeaving(h http.Header) bool { return h.Get(HeaderLeaving) == LeavingTrue }

// isNotRun reports whether the upstream said that it did not run the request.
func isNotRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == OutcomeNotRun
}
