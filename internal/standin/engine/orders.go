package engine

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/jujubeford/jujubeford/internal/standin/control"
)

const (
	// maxOrderBytes bounds the body of an order.
	maxOrderBytes = 64 << 10
	// maxAppliedOrders bounds the list of applied orders; the oldest are dropped.
	maxAppliedOrders = 1000
)

// Order is an order that was applied.
type Order struct {
	Name   string `json:"name"`
	Number uint64 `json:"number"`
	Body   string `json:"body"`
}

// orders applies fenced orders and keeps a list of them.
type orders struct {
	checkFencing bool

	mu      sync.Mutex
	highest uint64
	applied []Order
}

// apply records an order and returns the highest fencing number so far. With
// checkFencing it rejects an order whose number is lower than that.
func (o *orders) apply(order Order) (highest uint64, applied bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checkFencing && order.Number < o.highest {
		return o.highest, false
	}
	o.highest = max(o.highest, order.Number)
	o.applied = append(o.applied, order)
	if len(o.applied) > maxAppliedOrders {
		o.applied = append(o.applied[:0], o.applied[1:]...)
	}
	return o.highest, true
}

// reset loses the highest number and the applied orders, as a crash does.
func (o *orders) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.highest = 0
	o.applied = nil
}

func (o *orders) handlePut(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.Header.Get(HeaderFencing), 10, 64)
	if err != nil {
		http.Error(w, "bad "+HeaderFencing, http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	if err != nil {
		http.Error(w, "order too large", http.StatusRequestEntityTooLarge)
		return
	}
	order := Order{Name: r.PathValue("name"), Number: number, Body: string(body)}
	highest, applied := o.apply(order)
	if !applied {
		http.Error(w, fmt.Sprintf("fencing number %d is older than %d", number, highest), http.StatusConflict)
		return
	}
	control.WriteJSON(w, order)
}

func (o *orders) handleList(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	applied := append([]Order{}, o.applied...)
	o.mu.Unlock()
	control.WriteJSON(w, applied)
}
