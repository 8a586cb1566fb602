package core

import "time"

// LeaseID identifies a lease of the key-value service.
type LeaseID string

// LeaseGrant creates a lease; LeaseResult answers with its ID.
type LeaseGrant struct {
	Op  OpID
	TTL time.Duration
}

// LeaseAcquire writes Value and binds the key to the lease, unless another live
// lease holds the key. LeaseResult then has the status KVConflict.
type LeaseAcquire struct {
	Op    OpID
	Lease LeaseID
	Key   string
	Value []byte
}

// LeaseRenew extends a lease.
type LeaseRenew struct {
	Op    OpID
	Lease LeaseID
}

// LeaseRevoke ends a lease and frees the keys that it holds.
type LeaseRevoke struct {
	Op    OpID
	Lease LeaseID
}

// LeaseResult answers a lease effect; each effect gets exactly one.
type LeaseResult struct {
	Op     OpID
	Status KVStatus
	// Lease is the lease that a LeaseGrant created.
	Lease LeaseID
}

// Order brings an upstream into a wanted state; it is idempotent.
type Order struct {
	Op       OpID
	Upstream string
	Addr     string
	// Name is the kind of the order, Body the wanted state.
	Name string
	Body string
	// FencingToken is higher the later the sender acquired the lease on orders.
	// Upstreams that check it refuse an order with a lower token than an earlier
	// one.
	FencingToken uint64
	// SendBefore is the time from which no byte of the order may be written, and
	// Deadline the time until which its answer is awaited.
	SendBefore time.Time
	Deadline   time.Time
}

// OrderStatus is the result of an order.
type OrderStatus int

// The results of an order.
const (
	// OrderApplied: the upstream has carried out the order.
	OrderApplied OrderStatus = iota + 1
	// OrderFenced: the upstream has seen a higher fencing token.
	OrderFenced
	// OrderRefused: the upstream refused the order for another reason.
	OrderRefused
	// OrderNotSent: no byte of the order was written.
	OrderNotSent
	// OrderUnknown: no answer arrived; the order may be carried out now or
	// later, or not at all.
	OrderUnknown
)

// String returns the name of the result in logs.
func (s OrderStatus) String() string {
	names := [...]string{"none", "obeyed", "fenced", "refused", "not-sent", "unknown"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// OrderResult answers an Order; each order gets exactly one.
type OrderResult struct {
	Op     OpID
	Status OrderStatus
}

// OrderQuery asks an upstream for the last order of the kind Name that it carried
// out; the runtime answers with OrderQueryResult.
type OrderQuery struct {
	Op       OpID
	Upstream string
	Addr     string
	Name     string
}

// OrderQueryResult answers an OrderQuery; each gets exactly one.
type OrderQueryResult struct {
	Op OpID
	// Known reports whether the upstream answered.
	Known bool
	// Body and FencingToken are those of the last order of that name that the
	// upstream carried out; both are zero if there is none.
	Body         string
	FencingToken uint64
	// HighestToken is the highest fencing token of any order that the upstream
	// carried out.
	HighestToken uint64
}

func (LeaseGrant) effect()   {}
func (LeaseAcquire) effect() {}
func (LeaseRenew) effect()   {}
func (LeaseRevoke) effect()  {}
func (Order) effect()        {}
func (OrderQuery) effect()   {}

func (LeaseResult) event()      {}
func (OrderResult) event()      {}
func (OrderQueryResult) event() {}
