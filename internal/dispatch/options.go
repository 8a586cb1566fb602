package dispatch

import "time"

// Options are the tunable parameters of dispatch decisions.
type Options struct {
	// Domain is the failure domain of this router.
	Domain string
	// Region is the region of this router, and Regions that of each failure domain.
	Region  string
	Regions map[string]string
	// PrefillRate is the number of prompt tokens that an engine reads per second
	// while it also runs the decode steps of its streams.
	PrefillRate float64
	// FirstToken is the time to the first token for an empty prompt.
	FirstToken time.Duration
	// MaxBacklog is the upper bound on the prefill work queued at an engine, as time.
	MaxBacklog time.Duration
	// FetchSetup is the fixed cost of copying cached parts between engines.
	FetchSetup time.Duration
	// ShareWindow is the time window over which the usage of organisations is measured.
	ShareWindow time.Duration
	// RetryRatio is the number of retries that each first send of a service adds to
	// its budget, and RetryBurst the number that the whole fleet may accumulate.
	RetryRatio float64
	RetryBurst float64
	// ColdOverage and ColdSlack bound the requests in any second to a cold upstream:
	// ColdOverage times what it tolerates, and ColdSlack more. An overage below 1 counts
	// as 1.
	ColdOverage, ColdSlack float64
	// Pace makes the router find how much an upstream gets that has just started or
	// recovered from how it answers.
	Pace bool
	// IgnorePeers makes the router ignore the reports of peers. It is the baseline
	// against which sharing the load reports is measured.
	IgnorePeers bool
	// IgnoreSpeeds makes the router take all upstreams for equally fast. It is the
	// baseline against which learning their speeds is measured.
	IgnoreSpeeds bool
}

// DefaultOptions returns the options for the engines described by the users.
func DefaultOptions() Options {
	return Options{
		// Chunks of 1,024 tokens at 60 to 66 tokens per ms, each beside a decode step
		// of about 5 ms (the users' engine data sheets).
		PrefillRate: 50_000,
		FirstToken:  12 * time.Millisecond,
		MaxBacklog:  200 * time.Millisecond,
		FetchSetup:  4 * time.Millisecond,
		ShareWindow: 4 * time.Second,
		// Half of the ratio that the users allow, since the reports of peers lag.
		RetryRatio: 0.1,
		RetryBurst: 40,
	}
}

const (
	// tickBusy, tickIdle and tickEmpty are the intervals between Ticks while requests
	// wait, while requests run and while there are none.
	tickBusy  = 10 * time.Millisecond
	tickIdle  = 50 * time.Millisecond
	tickEmpty = 150 * time.Millisecond
	// maxSends is the maximum number of attempts per request, including those that
	// did not run.
	maxSends = 4
	// minFetchTokens is the least number of tokens that is copied between engines.
	minFetchTokens = 128
	// cacheMemoryFraction is the fraction of an engine's memory that is expected to
	// be available for cached parts beside the running requests.
	cacheMemoryFraction = 0.6
	// silenceFactor and minSilence define when a retryable attempt without a first
	// byte is aborted: after silenceFactor times its latency target, but not before
	// minSilence.
	silenceFactor = 1.5
	minSilence    = 300 * time.Millisecond
	// nonRetryableSilence is the silence after which an attempt that cannot be
	// retried counts as a failure of its upstream.
	nonRetryableSilence = 2 * time.Second
	// maxExcess is the multiple of its share above which an organisation is refused
	// even if no other request waits: the spare capacity would otherwise go to those
	// that send most. The users compare organisations at a factor of two.
	maxExcess = 1.5
	// idleBacklog is the prefill work, as time, up to which an engine counts as
	// nearly idle. Requests of organisations over their share are sent only to such
	// engines, so that they do not delay the requests of others.
	idleBacklog = 30 * time.Millisecond
	// unreachableHold is how long an upstream gets no work after it refused a
	// connection. Restarting takes an instance longer than that.
	unreachableHold = 500 * time.Millisecond
	// maxSendAfterLeaving is how long after an upstream has left a request that is bound to
	// it may still be sent. The upstream serves for two seconds.
	maxSendAfterLeaving = 1300 * time.Millisecond
	// queueTimeFraction is the fraction of the latency target after which a request
	// that still waits can no longer be answered in time.
	queueTimeFraction = 0.9
	// plainQueueTimeFraction is the equivalent for services without engines, as a
	// fraction of the time until the request expires.
	plainQueueTimeFraction = 0.6
	// plainOvercommit is the number of requests that a plain upstream may queue
	// beyond its slots.
	plainOvercommit = 1
	// retryAfterMin and retryAfterMax bound the Retry-After of refused requests.
	// retryAfterFraction bounds it to a fraction of the caller's remaining time.
	retryAfterMin      = 200 * time.Millisecond
	retryAfterMax      = 2 * time.Second
	retryAfterFraction = 1.0 / 3
)
