// Package orders gives the engines of one failure domain their orders: which
// models or adapters each has loaded. It is a reducer without clock, I/O,
// goroutine or randomness.
//
// One router per failure domain gives orders at a time. It holds a lease on a
// key of the key-value service and, once it has it, takes a fencing number: a
// counter in a key of its own, raised by compare-and-swap. The number stands in
// every order. These invariants hold:
//
//   - No two holders have the same number, and a later holder has a higher one.
//   - A holder starts no order later than HoldFor after it asked for the last
//     renewal that succeeded, and an order ends OrderTimeout after its start. So
//     no order is under way when the service may end the lease, as long as
//     clocks differ by less than ClockMargin over the lease's time.
//   - A holder starts no order to an engine that ignores the number before
//     WaitOut has passed since its lease was acquired.
//
// Orders are level-triggered: the holder reads what an engine has, orders what
// is wanted if that differs, and reads again. An order that arrives late all the
// same is thereby undone.
package orders
