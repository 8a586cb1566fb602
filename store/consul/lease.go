package consul

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/jujubeford/jujubeford/store"
)

// sessionRequest is the request body that creates a session. Grant asks for a
// session that releases its keys when it ends, and that has no node checks, so
// that only missing renewals end it.
type sessionRequest struct {
	Name       string
	TTL        string
	Behavior   string
	LockDelay  string
	NodeChecks []string
}

// createdSession is the response to a sessionRequest.
type createdSession struct{ ID string }

// Grant creates a lease that expires ttl after its last renewal. The service
// rejects a ttl under ten seconds, and may end the lease as late as twice the ttl
// after its last renewal.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	body, err := json.Marshal(sessionRequest{
		Name:       c.options.Node,
		TTL:        ttl.String(),
		Behavior:   "release",
		LockDelay:  "0s",
		NodeChecks: []string{},
	})
	if err != nil {
		panic(err) // cannot happen: the struct has only strings
	}
	resp, err := c.call(ctx, request{
		kind:   KindGrant,
		method: http.MethodPut,
		path:   "/v1/session/create",
		body:   body,
	})
	if err != nil {
		return "", err
	}
	var created createdSession
	if err := c.decode(KindGrant, resp, &created); err != nil {
		return "", err
	}
	if created.ID == "" {
		return "", c.callError(KindGrant, true, "response without a session ID")
	}
	return store.LeaseID(created.ID), nil
}

// Renew extends a lease. It returns store.ErrLeaseLost if the lease has ended.
func (c *Client) Renew(ctx context.Context, lease store.LeaseID) error {
	resp, err := c.call(ctx, request{
		kind:   KindRenew,
		method: http.MethodPut,
		path:   "/v1/session/renew/" + url.PathEscape(string(lease)),
	})
	if err != nil {
		return err
	}
	if resp.status == http.StatusNotFound {
		return store.ErrLeaseLost
	}
	return nil
}

// Revoke ends a lease and releases the keys that it holds.
func (c *Client) Revoke(ctx context.Context, lease store.LeaseID) error {
	_, err := c.write(ctx, request{
		kind:   KindRevoke,
		method: http.MethodPut,
		path:   "/v1/session/destroy/" + url.PathEscape(string(lease)),
	})
	return err
}

// Acquire writes value and binds the key to the lease. It returns false without
// an error if another live lease holds the key, and store.ErrLeaseLost if the
// given lease has ended.
func (c *Client) Acquire(ctx context.Context, key string, value []byte, lease store.LeaseID) (bool, error) {
	return c.write(ctx, request{
		kind:   KindAcquire,
		method: http.MethodPut,
		path:   keyPath(key),
		query:  url.Values{"acquire": {string(lease)}},
		body:   value,
	})
}
