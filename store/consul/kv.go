package consul

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/jujubeford/jujubeford/store"
)

// kvPair is a key-value pair as the API encodes it.
type kvPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

func (p kvPair) entry() store.Entry {
	return store.Entry{Key: p.Key, Value: p.Value, Index: p.ModifyIndex}
}

// Get reads a key with a consistent read, which never returns the stale state of
// a lagging server.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	return c.readKey(ctx, key, request{
		kind:  KindGet,
		query: url.Values{"consistent": {""}},
	})
}

// Watch waits until the key's modify index is greater than index; with index 0 it
// returns at once. The service may respond early with the unchanged entry.
// Together with store.ErrNotFound it returns an entry whose Index can be passed
// to the next call to wait until the key is created.
func (c *Client) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (store.Entry, error) {
	if index == 0 {
		wait = 0
	}
	return c.readKey(ctx, key, request{
		kind:  KindWatch,
		query: blockingQuery(index, wait),
		wait:  wait,
	})
}

// blockingQuery returns the URL parameters of a blocking query.
func blockingQuery(index uint64, wait time.Duration) url.Values {
	return url.Values{
		"index": {strconv.FormatUint(index, 10)},
		"wait":  {strconv.FormatInt(wait.Milliseconds(), 10) + "ms"},
	}
}

// readKey reads a single key with the kind, query and wait of r.
func (c *Client) readKey(ctx context.Context, key string, r request) (store.Entry, error) {
	r.method = http.MethodGet
	r.path = keyPath(key)
	resp, err := c.call(ctx, r)
	if err != nil {
		return store.Entry{}, err
	}
	if resp.status == http.StatusNotFound {
		return store.Entry{Key: key, Index: resp.index}, store.ErrNotFound
	}
	var pairs []kvPair
	if err := c.decode(r.kind, resp, &pairs); err != nil {
		return store.Entry{}, err
	}
	if len(pairs) != 1 || pairs[0].Key != key {
		return store.Entry{}, c.callError(r.kind, false, "response is not for the requested key")
	}
	return pairs[0].entry(), nil
}

// List reads all keys under a prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	resp, err := c.call(ctx, request{
		kind:   KindList,
		method: http.MethodGet,
		path:   keyPath(prefix),
		query:  url.Values{"recurse": {""}, "consistent": {""}},
	})
	if err != nil || resp.status == http.StatusNotFound {
		return nil, err
	}
	var pairs []kvPair
	if err := c.decode(KindList, resp, &pairs); err != nil {
		return nil, err
	}
	entries := make([]store.Entry, 0, len(pairs))
	for _, p := range pairs {
		entries = append(entries, p.entry())
	}
	return entries, nil
}

// CAS writes value if the key's modify index equals index; 0 means that the key
// must not exist.
func (c *Client) CAS(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	return c.write(ctx, request{
		kind:   KindCAS,
		method: http.MethodPut,
		path:   keyPath(key),
		query:  url.Values{"cas": {strconv.FormatUint(index, 10)}},
		body:   value,
	})
}

// Delete removes the key if its modify index equals index.
func (c *Client) Delete(ctx context.Context, key string, index uint64) (bool, error) {
	return c.write(ctx, request{
		kind:   KindDelete,
		method: http.MethodDelete,
		path:   keyPath(key),
		query:  url.Values{"cas": {strconv.FormatUint(index, 10)}},
	})
}

// write makes a call whose response body is true or false and returns that value.
func (c *Client) write(ctx context.Context, r request) (bool, error) {
	if len(r.body) > store.MaxValue {
		return false, store.ErrTooLarge
	}
	resp, err := c.call(ctx, r)
	if err != nil {
		return false, err
	}
	switch strings.TrimSpace(string(resp.body)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, c.callError(r.kind, resp.status != http.StatusNotFound, "response is neither true nor false: "+resp.errorText())
}

// keyPath returns the escaped URL path of a key. Slashes in the key are not
// escaped.
func keyPath(key string) string {
	return (&url.URL{Path: "/v1/kv/" + key}).EscapedPath()
}
