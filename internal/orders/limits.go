package orders

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	// LeaseTTL is how long a lease lasts after its last renewal. The key-value
	// service takes none under ten seconds.
	LeaseTTL = 15 * time.Second
	// LeaseStretch is by how much the service may let a lease outlast its TTL.
	LeaseStretch = 2
	// OrderTimeout is the time from the start of an order until its answer is no
	// longer waited for.
	OrderTimeout = 3 * time.Second
	// ClockMargin is by how much clocks may disagree about the length of WaitOut.
	ClockMargin = time.Second
	// HoldFor is how long after a renewal was asked for orders may start.
	HoldFor = LeaseTTL - OrderTimeout - ClockMargin
	// WaitOut is how long a new holder leaves engines alone that ignore the
	// fencing number: no order of an earlier holder can be under way any more.
	WaitOut = LeaseStretch*LeaseTTL + OrderTimeout + ClockMargin

	// renewEvery is the time between renewals.
	renewEvery = 5 * time.Second
	// acquireEvery is the time between attempts while another router has the
	// lease.
	acquireEvery = 10 * time.Second
	// retryCall is the pause after a key-value call without an answer.
	retryCall = 2 * time.Second
	// observeEvery is how often an engine in its wanted state is read, and
	// retryOrder how often one that is not.
	observeEvery = 30 * time.Second
	retryOrder   = 2 * time.Second

	// maxNumber bounds the fencing numbers that are believed, so that a bad one
	// cannot exhaust them.
	maxNumber = 1 << 53
)

// NameLoad is the name of the orders that tell what an engine has loaded.
const NameLoad = "load"

const (
	leasePrefix  = "jujubeford/orders/"
	numberPrefix = "jujubeford/fencing/"
)

// LeaseKey is the key whose holder gives a failure domain's orders.
func LeaseKey(domain string) string { return leasePrefix + domain }

// NumberKey is the key of a failure domain's last fencing number.
func NumberKey(domain string) string { return numberPrefix + domain }

// opSpace marks the operation ids of this package.
const opSpace = core.OpID(2) << 56
