package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	// headerFencing carries an order's fencing token.
	headerFencing = "Fencing-Number"
	ordersPath    = "/v1/orders"
	// orderDialTimeout bounds connection establishment for an order.
	orderDialTimeout = time.Second
	// maxOrderHeaderBytes bounds the size of the header of a response.
	maxOrderHeaderBytes = 64 << 10
	// maxOrderListBytes bounds the size of the list of orders that is read.
	maxOrderListBytes = 4 << 20
)

// errWriteWindowClosed is returned for a write at or after the order's SendBefore.
var errWriteWindowClosed = errors.New("order not written: its latest time for writing has passed")

// OrderClient sends orders to engines. Each order has its own connection, which
// rejects writes from the order's SendBefore on. It is safe for concurrent use.
type OrderClient struct {
	transport *http.Transport
	// now returns the current time; tests replace it.
	now func() time.Time
}

// NewOrderClient returns a client without connections.
func NewOrderClient() *OrderClient {
	c := &OrderClient{now: time.Now}
	dialer := &net.Dialer{Timeout: orderDialTimeout}
	c.transport = &http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxOrderHeaderBytes,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if w, ok := ctx.Value(windowKey{}).(*writeWindow); ok && err == nil {
				return &windowConn{Conn: conn, window: w}, nil
			}
			return conn, err
		},
	}
	return c
}

// writeWindow is the time before sendBefore, during which the bytes of an order may be
// written.
type writeWindow struct {
	sendBefore time.Time
	now        func() time.Time
	// wrote means that a write has begun.
	wrote atomic.Bool
}

type windowKey struct{}

// isOpen reports whether bytes may still be written. The monotonic clock stands
// still while a machine is suspended, and the wall clock can be set back, so both
// must be before sendBefore.
func (w *writeWindow) isOpen() bool {
	now := w.now()
	return now.Before(w.sendBefore) && now.Round(0).Before(w.sendBefore.Round(0))
}

// windowConn is a connection that rejects writes outside its window.
type windowConn struct {
	net.Conn
	window *writeWindow
}

// Write implements net.Conn. The window is checked immediately before the system
// call, so a process that was stopped before the check does not write late.
func (c *windowConn) Write(p []byte) (int, error) {
	if !c.window.isOpen() {
		return 0, errWriteWindowClosed
	}
	c.window.wrote.Store(true)
	return c.Conn.Write(p)
}

// Send sends an order and returns its outcome.
func (c *OrderClient) Send(ctx context.Context, o core.Order) core.OrderStatus {
	w := &writeWindow{sendBefore: o.SendBefore, now: c.now}
	ctx, cancel := context.WithDeadline(context.WithValue(ctx, windowKey{}, w), o.Deadline)
	defer cancel()
	target := "http://" + o.Addr + ordersPath + "/" + url.PathEscape(o.Name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, target, io.NopCloser(strings.NewReader(o.Body)))
	if err != nil {
		return core.OrderNotSent
	}
	req.ContentLength = int64(len(o.Body))
	req.Header.Set(headerFencing, strconv.FormatUint(o.FencingToken, 10))
	resp, err := c.transport.RoundTrip(req)
	if err != nil && !w.wrote.Load() {
		return core.OrderNotSent
	}
	if err != nil {
		return core.OrderUnknown
	}
	defer resp.Body.Close()
	return orderStatus(resp.StatusCode)
}

// orderStatus maps the HTTP status of an engine's response to the outcome of an
// order.
func orderStatus(status int) core.OrderStatus {
	switch {
	case status == http.StatusConflict:
		return core.OrderFenced
	case status < http.StatusOK || status >= http.StatusInternalServerError:
		return core.OrderUnknown
	case status < http.StatusMultipleChoices:
		return core.OrderApplied
	default:
		return core.OrderRefused
	}
}

// appliedOrder is an order that an engine has carried out, as the engine lists it.
type appliedOrder struct {
	Name         string `json:"name"`
	FencingToken uint64 `json:"number"`
	Body         string `json:"body"`
}

// ReadOrders asks an engine which orders it has carried out. It returns the order with
// the given name and the highest fencing token of all.
func (c *OrderClient) ReadOrders(ctx context.Context, r core.OrderQuery) core.OrderQueryResult {
	orders, err := c.fetchOrders(ctx, r.Addr)
	result := core.OrderQueryResult{Op: r.Op, Known: err == nil}
	for _, o := range orders {
		result.HighestToken = max(result.HighestToken, o.FencingToken)
		if o.Name == r.Name {
			result.Body, result.FencingToken = o.Body, o.FencingToken
		}
	}
	return result
}

func (c *OrderClient) fetchOrders(ctx context.Context, addr string) ([]appliedOrder, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+ordersPath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("engine answered the order list request with status %d", resp.StatusCode)
	}
	var orders []appliedOrder
	err = json.NewDecoder(io.LimitReader(resp.Body, maxOrderListBytes)).Decode(&orders)
	return orders, err
}
