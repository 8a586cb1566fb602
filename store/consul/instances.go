package consul

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/store"
)

// The keys of the service metadata in which the properties of an instance are
// stored.
const (
	metaDomain = "domain"
	metaState  = "state"
)

// catalogService is an instance as the API encodes it.
type catalogService struct {
	ID      string
	Service string
	Address string
	Port    int
	Meta    map[string]string
}

// instance converts s. An instance without a state is live.
func (s catalogService) instance() store.Instance {
	state := store.InstanceState(s.Meta[metaState])
	if state == "" {
		state = store.InstanceLive
	}
	return store.Instance{
		ID:      s.ID,
		Service: s.Service,
		Addr:    net.JoinHostPort(s.Address, strconv.Itoa(s.Port)),
		Domain:  s.Meta[metaDomain],
		State:   state,
	}
}

// nodeServices is the response of the endpoint that lists a node's services.
type nodeServices struct{ Services []catalogService }

// Instances reads the instances of all services in one call. If the index of the
// list went backwards, next is 0, so that the next call returns at once.
func (c *Client) Instances(
	ctx context.Context, index uint64, wait time.Duration,
) (list []store.Instance, next uint64, err error) {
	r := request{
		kind:   KindInstances,
		method: http.MethodGet,
		path:   "/v1/catalog/node-services/" + url.PathEscape(c.options.Node),
	}
	if index > 0 {
		r.query = blockingQuery(index, wait)
		r.wait = wait
	}
	resp, err := c.call(ctx, r)
	if err != nil {
		return nil, index, err
	}
	var body nodeServices
	if resp.status == http.StatusOK {
		if err := c.decode(KindInstances, resp, &body); err != nil {
			return nil, index, err
		}
	}
	list = make([]store.Instance, 0, len(body.Services))
	for _, s := range body.Services {
		list = append(list, s.instance())
	}
	if resp.index < index {
		return list, 0, nil
	}
	return list, resp.index, nil
}

// registerRequest is the request body that adds an instance to the catalog.
type registerRequest struct {
	Node           string
	Address        string
	SkipNodeUpdate bool
	Service        catalogService
}

// deregisterRequest is the request body that removes an instance from the
// catalog.
type deregisterRequest struct {
	Node      string
	ServiceID string
}

// Register adds an instance to the list or replaces it. Stand-ins, examples and
// tests use it; the platform registers its own instances itself.
func (c *Client) Register(ctx context.Context, instance store.Instance) error {
	host, portText, err := net.SplitHostPort(instance.Addr)
	if err != nil {
		return errors.Wrap(err, "register instance: invalid address")
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return errors.Wrap(err, "register instance: invalid port")
	}
	return c.updateCatalog(ctx, "/v1/catalog/register", registerRequest{
		Node:           c.options.Node,
		Address:        host,
		SkipNodeUpdate: true,
		Service: catalogService{
			ID:      instance.ID,
			Service: instance.Service,
			Address: host,
			Port:    port,
			Meta:    map[string]string{metaDomain: instance.Domain, metaState: string(instance.State)},
		},
	})
}

// Deregister removes an instance from the list.
func (c *Client) Deregister(ctx context.Context, id string) error {
	return c.updateCatalog(ctx, "/v1/catalog/deregister", deregisterRequest{Node: c.options.Node, ServiceID: id})
}

// updateCatalog sends body as JSON to an endpoint that changes the catalog.
func (c *Client) updateCatalog(ctx context.Context, path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err) // cannot happen: the bodies are structs of strings, numbers and maps
	}
	_, err = c.write(ctx, request{
		kind:   KindRegister,
		method: http.MethodPut,
		path:   path,
		body:   encoded,
	})
	return err
}
