package dispatch

import "time"

// Options are the figures that the decisions go by.
type Options struct {
	// Domain is the failure domain of this router.
	Domain string
	// PrefillRate is how many prompt tokens an engine reads in a second beside
	// the steps of its running streams.
	PrefillRate float64
	// FirstToken is the time to the first token of an empty prompt.
	FirstToken time.Duration
	// MaxBacklog bounds the prompt work queued at an engine, as time.
	MaxBacklog time.Duration
	// FetchSetup is the fixed cost of copying cached parts between engines.
	FetchSetup time.Duration
	// ShareWindow is the time over which shares of organisations are judged.
	ShareWindow time.Duration
	// RetryRatio is how many repeats each first send of a service earns, and
	// RetryBurst how many the whole fleet may save up.
	RetryRatio float64
	RetryBurst float64
	// Alone makes the router ignore what others report; it is the baseline that
	// the shared view is measured against.
	Alone bool
}

// DefaultOptions returns the figures for engines as the users describe them.
func DefaultOptions() Options {
	return Options{
		// Chunks of 1,024 tokens at 60 to 66 tokens a ms, each beside a step of
		// about 5 ms (the users' sheets of engines).
		PrefillRate: 50_000,
		FirstToken:  12 * time.Millisecond,
		MaxBacklog:  200 * time.Millisecond,
		FetchSetup:  4 * time.Millisecond,
		ShareWindow: 4 * time.Second,
		// Half of the ratio that the users allow, since reports of peers lag.
		RetryRatio: 0.1,
		RetryBurst: 40,
	}
}

const (
	// tickBusy and tickIdle are how often time has to pass while requests wait,
	// and while none do.
	tickBusy = 10 * time.Millisecond
	tickIdle = 50 * time.Millisecond
	// maxSends bounds the attempts for one request, those that did not run
	// included.
	maxSends = 4
	// minFetchTokens is the least number of tokens worth copying between engines.
	minFetchTokens = 128
	// cacheMemoryFraction is the part of an engine's memory that cached parts are
	// expected to find beside running requests.
	cacheMemoryFraction = 0.6
	// silenceFactor and silentMin say when a repeatable attempt without a first
	// byte is given up: a multiple of its latency target, and at least silentMin.
	silenceFactor = 1.5
	minSilence    = 300 * time.Millisecond
	// nonRetryableSilence is when an attempt that cannot be repeated counts against
	// its upstream.
	nonRetryableSilence = 2 * time.Second
	// maxExcess is the multiple of its share from which an organisation gets
	// nothing, also while nobody waits: what is left would go to those that send
	// most. The users compare organisations at a factor of two.
	maxExcess = 1.5
	// idleBacklog is the prompt work, as time, up to which an engine counts as all
	// but idle. Organisations over their share get no others, so that what they
	// take beyond it keeps nobody waiting.
	idleBacklog = 30 * time.Millisecond
	// unreachableHold is how long an upstream gets no work after it refused a
	// connection; it takes longer than that to start again.
	unreachableHold = 500 * time.Millisecond
	// queueTimeFraction is the part of the latency target after which a request that
	// still waits cannot be answered on time.
	queueTimeFraction = 0.9
	// plainQueueTimeFraction is the same for services without engines, as part of the
	// time that the caller gives.
	plainQueueTimeFraction = 0.6
	// plainOvercommit is how many requests beyond its slots a plain upstream may
	// queue.
	plainOvercommit = 1
	// retryAfterMin and retryAfterMax bound the Retry-After of refusals, and
	// retryAfterPart bounds it as a part of the time the caller has left.
	retryAfterMin      = 200 * time.Millisecond
	retryAfterMax      = 2 * time.Second
	retryAfterFraction = 1.0 / 3
)
