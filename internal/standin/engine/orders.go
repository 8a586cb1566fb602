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
	// maxOrder bounds an order's body, in bytes.
	maxOrder = 64 << 10
	// maxOrders bounds the orders that are remembered.
	maxOrders = 1000
)

// Order is an order that was obeyed.
type Order struct {
	Name   string `json:"name"`
	Number uint64 `json:"number"`
	Body   string `json:"body"`
}

// orders obeys orders and remembers them.
type orders struct {
	check bool

	mu      sync.Mutex
	highest uint64
	obeyed  []Order
}

// obey carries out an order; false if its number is older than one before and
// numbers are checked.
func (o *orders) obey(order Order) (highest uint64, obeyed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.check && order.Number < o.highest {
		return o.highest, false
	}
	o.highest = max(o.highest, order.Number)
	o.obeyed = append(o.obeyed, order)
	if len(o.obeyed) > maxOrders {
		o.obeyed = append(o.obeyed[:0], o.obeyed[1:]...)
	}
	return o.highest, true
}

// reset forgets the highest number and what was ordered, as a crash does.
func (o *orders) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.highest = 0
	o.obeyed = nil
}

func (o *orders) handlePut(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.Header.Get(HeaderFencing), 10, 64)
	if err != nil {
		http.Error(w, "bad "+HeaderFencing, http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrder))
	if err != nil {
		http.Error(w, "order too large", http.StatusRequestEntityTooLarge)
		return
	}
	order := Order{Name: r.PathValue("name"), Number: number, Body: string(body)}
	highest, obeyed := o.obey(order)
	if !obeyed {
		http.Error(w, fmt.Sprintf("fencing number %d is older than %d", number, highest), http.StatusConflict)
		return
	}
	control.Answer(w, order)
}

func (o *orders) handleList(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	obeyed := append([]Order{}, o.obeyed...)
	o.mu.Unlock()
	control.Answer(w, obeyed)
}
