package upstream

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

// Request is one attempt to have an upstream run a request.
type Request struct {
	// Addr is IP:port.
	Addr   string
	Method string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
	// Service is the kind of the service that the upstream runs.
	Service   config.Kind
	RequestID core.RequestID
	Attempt   core.Attempt
	// SilentAfter is how long to wait for data from the upstream before the attempt
	// fails as silent; zero means without bound.
	SilentAfter time.Duration
	// NewConn asks for a new connection, on which no response to another request can
	// arrive. It is set for work that must run at most once: if it used an idle
	// connection that had broken unnoticed, it would be unknown whether the work
	// ran.
	NewConn bool
	// Resume continues a stream that broke off, on a new connection.
	Resume *Resume
}

// Resume names the position in a stream up to which its chunks have arrived.
type Resume struct {
	StreamID string
	Offset   uint64
}

// eventID returns the id of the last chunk that arrived, as the upstream wrote it.
func (r Resume) eventID() string {
	return r.StreamID + "/" + strconv.FormatUint(r.Offset, 10)
}

// onceBody is a request body that can be read only once. It must not be made
// rewindable, since the transport could then send the request again.
type onceBody struct{ r *bytes.Reader }

func (b onceBody) Read(p []byte) (int, error) { return b.r.Read(p) }
func (b onceBody) Close() error               { return nil }

// newHTTPRequest builds the request as it is sent.
func newHTTPRequest(ctx context.Context, r *Request) (*http.Request, error) {
	target, err := targetURL(r.Addr, r.Path)
	if err != nil {
		return nil, err
	}
	req := &http.Request{
		Method:        r.Method,
		URL:           target,
		Host:          r.Addr,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        requestHeader(r),
		Body:          http.NoBody,
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		req.Body = onceBody{bytes.NewReader(r.Body)}
	}
	return req.WithContext(ctx), nil
}

// targetURL builds the URL of an address and a path. The path and query are sent as
// the caller wrote them.
func targetURL(addr, pathAndQuery string) (*url.URL, error) {
	if strings.ContainsFunc(pathAndQuery, unicode.IsControl) {
		return nil, errors.New("request path contains a control character")
	}
	path, query, hasQuery := strings.Cut(pathAndQuery, "?")
	if !strings.HasPrefix(path, "/") {
		return nil, errors.Errorf("request path %.64q does not start with /", path)
	}
	unescaped, err := url.PathUnescape(path)
	if err != nil {
		return nil, errors.Wrap(err, "unescape request path")
	}
	return &url.URL{
		Scheme: "http", Host: addr,
		Path: unescaped, RawPath: path, RawQuery: query, ForceQuery: hasQuery,
	}, nil
}
