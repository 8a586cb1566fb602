package config

import "time"

// Kind is the type of a service, which determines how requests are routed to it.
type Kind string

// The kinds of service.
const (
	// Model services run model engines behind an OpenAI-style chat completions
	// API.
	Model Kind = "model"
	// Plain services are all other HTTP services.
	Plain Kind = "plain"
)

// Config is the configuration of a fleet.
type Config struct {
	Fleet         string         `yaml:"fleet"`
	Services      []Service      `yaml:"services"`
	Organisations []Organisation `yaml:"organisations"`
}

// Service describes a service that organisations may call. Its upstreams are the
// instances that the platform's instance list has under the same name.
type Service struct {
	Name string `yaml:"name"`
	Kind Kind   `yaml:"kind"`
	// Model is the value of the "model" field in requests for a model service.
	Model string `yaml:"model,omitempty"`
	// Prefix is the path prefix of a plain service, such as "/booking/".
	Prefix string `yaml:"prefix,omitempty"`
	// Slots is the number of requests that one upstream runs concurrently.
	Slots int `yaml:"slots"`
	// MaxWait is how long a request may wait for a slot before it is rejected.
	MaxWait time.Duration `yaml:"max_wait"`
	// SilentAfter is how long an upstream may send nothing while it runs a
	// request; after that the attempt has failed.
	SilentAfter time.Duration `yaml:"silent_after"`
	// ChecksFencing reports whether upstreams reject orders that carry an outdated
	// fencing token.
	ChecksFencing bool `yaml:"checks_fencing"`
	// Load lists the model versions or adapters that each upstream of a model
	// service is ordered to load. If it is empty, no load orders are sent.
	Load []string `yaml:"load,omitempty"`
	// Continues reports whether the engines of a model service can continue a
	// partial answer ("continue_final_message"). If so, another engine can take
	// over a stream that broke off or became slow.
	Continues bool `yaml:"continues,omitempty"`
	// Idempotent reports whether requests that match no Once rule may be retried
	// after a failure.
	Idempotent bool `yaml:"idempotent"`
	// Once lists the requests that must run at most once.
	Once []Once `yaml:"once,omitempty"`
	// Objectives are the service-level objectives of this service.
	Objectives Objectives `yaml:"objectives,omitempty"`
}

// Once is a rule that matches requests that must run at most once.
type Once struct {
	Method string `yaml:"method"`
	// Path is the path prefix of the matched requests.
	Path string `yaml:"path"`
	// Why is the reason for the rule, for readers of the configuration.
	Why string `yaml:"why,omitempty"`
}

// Objectives are the service-level objectives of a service. Zero bounds are not
// set.
type Objectives struct {
	// FirstToken bounds the time to the first token of a model's answer, and
	// TokenGap the time between its tokens.
	FirstToken time.Duration `yaml:"first_token,omitempty"`
	TokenGap   time.Duration `yaml:"token_gap,omitempty"`
	// Answer bounds the response time of a plain service.
	Answer time.Duration `yaml:"answer,omitempty"`
	// Target is the fraction of requests that must meet the bounds, such as 0.95.
	Target float64 `yaml:"target,omitempty"`
}

// Organisation is a customer that shares the capacity.
type Organisation struct {
	Name string `yaml:"name"`
	// Share is the organisation's weight; capacity is shared in proportion to the
	// weights.
	Share int `yaml:"share"`
	// Keys are the SHA-256 digests of the organisation's API keys in lower-case
	// hex.
	Keys []string `yaml:"keys"`
	// Services are the names of the services that the organisation may call.
	Services []string `yaml:"services"`
	// MaxQueued is the maximum number of the organisation's requests that wait at
	// one router.
	MaxQueued int `yaml:"max_queued"`
}
