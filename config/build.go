package config

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"
)

// Builder assembles a configuration step by step.
type Builder struct {
	cfg Config
}

// New returns a Builder for the configuration of the named fleet.
func New(fleet string) *Builder {
	return &Builder{cfg: Config{Fleet: fleet}}
}

// Service adds services to the configuration.
func (b *Builder) Service(services ...Service) *Builder {
	b.cfg.Services = append(b.cfg.Services, services...)
	return b
}

// Organisation adds organisations to the configuration.
func (b *Builder) Organisation(organisations ...Organisation) *Builder {
	b.cfg.Organisations = append(b.cfg.Organisations, organisations...)
	return b
}

// Build checks the configuration and returns a copy in canonical order. The
// error is of type Faults.
func (b *Builder) Build() (*Config, error) {
	if err := b.cfg.Check(); err != nil {
		return nil, err
	}
	return b.cfg.canonical(), nil
}

// ModelService returns a model service that serves the named model. Its requests
// are idempotent.
func ModelService(name, model string) Service {
	s := newService(name, Model)
	s.Model = model
	s.Idempotent = true
	return s
}

// PlainService returns a plain service that callers reach under a path prefix.
// Its requests are not idempotent unless Repeatable is called.
func PlainService(name, prefix string) Service {
	s := newService(name, Plain)
	s.Prefix = prefix
	return s
}

// newService returns a service with the default limits.
func newService(name string, kind Kind) Service {
	return Service{
		Name:        name,
		Kind:        kind,
		Slots:       DefaultSlots,
		MaxWait:     DefaultMaxWait,
		SilentAfter: DefaultSilentAfter,
	}
}

// WithSlots sets the number of requests that one upstream runs concurrently.
func (s Service) WithSlots(slots int) Service {
	s.Slots = slots
	return s
}

// WithWait sets how long a request may wait for a slot before it is rejected.
func (s Service) WithWait(wait time.Duration) Service {
	s.MaxWait = wait
	return s
}

// WithSilence sets how long an upstream may send nothing while it runs a
// request.
func (s Service) WithSilence(silence time.Duration) Service {
	s.SilentAfter = silence
	return s
}

// WithFencing declares that the upstreams reject orders with an outdated fencing
// token.
func (s Service) WithFencing() Service {
	s.ChecksFencing = true
	return s
}

// Loading adds model versions or adapters that each upstream is ordered to load.
func (s Service) Loading(names ...string) Service {
	s.Load = append(append([]string(nil), s.Load...), names...)
	return s
}

// Continuing declares that the engines can continue a partial answer that
// another engine began.
func (s Service) Continuing() Service {
	s.Continues = true
	return s
}

// Repeatable declares that requests that match no once rule are idempotent.
func (s Service) Repeatable() Service {
	s.Idempotent = true
	return s
}

// RunOnce adds a rule that requests with this method and with a path that starts
// with path run at most once.
func (s Service) RunOnce(method, path, why string) Service {
	s.Once = append(append([]Once(nil), s.Once...), Once{Method: method, Path: path, Why: why})
	return s
}

// RunWritesOnce adds a RunOnce rule for each of the methods POST, PUT, PATCH and
// DELETE under path.
func (s Service) RunWritesOnce(path, why string) Service {
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		s = s.RunOnce(method, path, why)
	}
	return s
}

// WithObjectives sets the service-level objectives of the service.
func (s Service) WithObjectives(objectives Objectives) Service {
	s.Objectives = objectives
	return s
}

// NewOrganisation returns an organisation with its share of the capacity.
func NewOrganisation(name string, share int) Organisation {
	return Organisation{Name: name, Share: share, MaxQueued: DefaultMaxQueued}
}

// WithKey adds an API key. Only its digest is stored.
func (o Organisation) WithKey(apiKey string) Organisation {
	return o.WithKeyDigest(KeyDigest(apiKey))
}

// WithKeyDigest adds an API key by its digest, as KeyDigest returns it.
func (o Organisation) WithKeyDigest(digest string) Organisation {
	o.Keys = append(append([]string(nil), o.Keys...), digest)
	return o
}

// Reaching adds services that the organisation may call.
func (o Organisation) Reaching(services ...string) Organisation {
	o.Services = append(append([]string(nil), o.Services...), services...)
	return o
}

// WithQueue sets the maximum number of the organisation's requests that wait at
// one router.
func (o Organisation) WithQueue(requests int) Organisation {
	o.MaxQueued = requests
	return o
}

// KeyDigest returns the digest of an API key as a configuration stores it:
// SHA-256 in lower-case hex.
func KeyDigest(apiKey string) string {
	sum := sha256.Sum256([]byte(apiKey))
	return hex.EncodeToString(sum[:])
}
