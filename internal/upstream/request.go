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

// Request is one attempt at an upstream.
type Request struct {
	// Addr is IP:port.
	Addr   string
	Method string
	// Path is the path with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Service is how the upstream is spoken to.
	Service   config.Kind
	RequestID core.RequestID
	Attempt   core.Attempt
	// SilentAfter is how long the upstream may say nothing; zero means for ever.
	SilentAfter time.Duration
	// Fresh asks for a connection of its own, on which no answer to another
	// request can stand. Work that must run at most once asks for it: no idle
	// connection that has broken unnoticed then leaves it in doubt.
	Fresh bool
	// Resume continues a stream that broke off, on a fresh connection.
	Resume *Resume
}

// Resume names the place in a stream up to which its chunks have arrived.
type Resume struct {
	StreamID string
	Offset   uint64
}

// eventID is the id of the last chunk that arrived, as the upstream wrote it.
func (r Resume) eventID() string {
	return r.StreamID + "/" + strconv.FormatUint(r.Offset, 10)
}

// onceBody is a request body that can be read once. It must not grow a way to
// rewind, or the transport could send the request again.
type onceBody struct{ r *bytes.Reader }

func (b onceBody) Read(p []byte) (int, error) { return b.r.Read(p) }
func (b onceBody) Close() error               { return nil }

// newHTTPRequest builds the request as it goes over the wire.
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

// targetURL joins the address and the path, which goes out as the caller wrote
// it.
func targetURL(addr, pathAndQuery string) (*url.URL, error) {
	if strings.ContainsFunc(pathAndQuery, unicode.IsControl) {
		return nil, errors.New("control character in path")
	}
	path, query, hasQuery := strings.Cut(pathAndQuery, "?")
	if !strings.HasPrefix(path, "/") {
		return nil, errors.Errorf("path %.64q does not start with /", path)
	}
	unescaped, err := url.PathUnescape(path)
	if err != nil {
		return nil, errors.Wrap(err, "path")
	}
	return &url.URL{
		Scheme: "http", Host: addr,
		Path: unescaped, RawPath: path, RawQuery: query, ForceQuery: hasQuery,
	}, nil
}
