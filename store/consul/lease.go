package consul

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/jujubeford/jujubeford/store"
)

// sessionRequest creates a session that frees its keys when it ends. Without
// node checks its end depends on renewals alone.
type sessionRequest struct {
	Name       string
	TTL        string
	Behavior   string
	LockDelay  string
	NodeChecks []string
}

// createdSession is a session in the API's form.
type createdSession struct{ ID string }

// Grant makes a lease that ends ttl after its last renewal. The service takes no
// ttl under ten seconds and may end the lease as late as after twice the ttl.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	body, err := json.Marshal(sessionRequest{
		Name:       c.options.Node,
		TTL:        ttl.String(),
		Behavior:   "release",
		LockDelay:  "0s",
		NodeChecks: []string{},
	})
	if err != nil {
		panic(err) // strings only
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
		return "", c.callError(KindGrant, true, "answer without a session")
	}
	return store.LeaseID(created.ID), nil
}

// Renew extends a lease; store.ErrLeaseLost if it has ended.
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

// Revoke ends a lease and frees the keys it holds.
func (c *Client) Revoke(ctx context.Context, lease store.LeaseID) error {
	_, err := c.write(ctx, request{
		kind:   KindRevoke,
		method: http.MethodPut,
		path:   "/v1/session/destroy/" + url.PathEscape(string(lease)),
	})
	return err
}

// Acquire writes value and binds the key to the lease, if no other live lease
// holds it; store.ErrLeaseLost if the lease has ended.
func (c *Client) Acquire(ctx context.Context, key string, value []byte, lease store.LeaseID) (bool, error) {
	return c.write(ctx, request{
		kind:   KindAcquire,
		method: http.MethodPut,
		path:   keyPath(key),
		query:  url.Values{"acquire": {string(lease)}},
		body:   value,
	})
}
