// Package orders keeps the engines of one failure domain in their desired state:
// it decides when to order an engine to load a set of models or adapters. It is
// a reducer without clock, I/O, goroutines or randomness.
//
// One router per failure domain gives orders at a time. It holds a lease on a
// key of the key-value service. After acquiring the lease it takes a fencing
// token: it raises a counter, kept under another key, by compare-and-swap, and
// the new value is its token. Every order carries the fencing token. These
// invariants hold:
//
//   - No two holders have the same fencing token, and a later holder has a
//     higher one.
//   - A holder starts no order later than HoldPeriod after it requested the last
//     renewal that succeeded, and an order ends OrderTimeout after its start. So
//     no order is in flight when the service may end the lease, as long as
//     clocks drift apart by less than ClockMargin during the lease.
//   - A holder starts no order to an engine that ignores the fencing token
//     before TakeoverDelay has passed since it acquired the lease.
//
// Orders are level-triggered: the holder reads the state of an engine, orders
// the desired state if that differs, and reads again. This also corrects the
// effect of an order that reaches an engine late in spite of the invariants.
package orders
