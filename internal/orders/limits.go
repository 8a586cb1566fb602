package orders

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	// LeaseTTL is how long a lease lasts after its last renewal. The key-value
	// service takes none under ten seconds.
	LeaseTTL = 15 * time.Second
	// MaxLeaseFactor is by how much the service may let a lease outlast its TTL.
	MaxLeaseFactor = 2
	// OrderTimeout is the time from the start of an order until its answer is no
	// longer waited for.
	OrderTimeout = 3 * time.Second
	// ClockMargin is by how much clocks may disagree about the length of WaitOut.
	ClockMargin = time.Second
	// HoldPeriod is how long after a renewal was asked for orders may start.
	HoldPeriod = LeaseTTL - OrderTimeout - ClockMargin
	// TakeoverDelay is how long a new holder leaves engines alone that ignore the
	// fencing number: no order of an earlier holder can be under way any more.
	TakeoverDelay = MaxLeaseFactor*LeaseTTL + OrderTimeout + ClockMargin

	// renewInterval is the time between renewals.
	renewInterval = 5 * time.Second
	// acquireInterval is the time between attempts while another router has the
	// lease.
	acquireInterval = 10 * time.Second
	// callRetryDelay is the pause after a key-value call without an answer.
	callRetryDelay = 2 * time.Second
	// readInterval is how often an engine in its wanted state is read, and
	// retryOrder how often one that is not.
	readInterval    = 30 * time.Second
	orderRetryDelay = 2 * time.Second

	// maxFencingNumber bounds the fencing numbers that are believed, so that a bad one
	// cannot exhaust them.
	maxFencingNumber = 1 << 53
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
