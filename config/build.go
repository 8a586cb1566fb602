package config

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"
)

// Builder collects a configuration.
type Builder struct {
	cfg Config
}

// New starts a configuration of the named fleet.
func New(fleet string) *Builder {
	return &Builder{cfg: Config{Fleet: fleet}}
}

// Service adds services.
func (b *Builder) Service(services ...Service) *Builder {
	b.cfg.Services = append(b.cfg.Services, services...)
	return b
}

// Organisation adds organisations.
func (b *Builder) Organisation(organisations ...Organisation) *Builder {
	b.cfg.Organisations = append(b.cfg.Organisations, organisations...)
	return b
}

// Build checks the configuration and returns it in canonical order. The error
// is of type Faults.
func (b *Builder) Build() (*Config, error) {
	if err := b.cfg.Check(); err != nil {
		return nil, err
	}
	return b.cfg.canonical(), nil
}

// ModelService describes a model service that serves the named model; work on
// it is idempotent.
func ModelService(name, model string) Service {
	s := newService(name, Model)
	s.Model = model
	s.Idempotent = true
	return s
}

// PlainService describes a plain service that callers reach under a path
// prefix; work on it is not idempotent unless Repeatable says so.
func PlainService(name, prefix string) Service {
	s := newService(name, Plain)
	s.Prefix = prefix
	return s
}

func newService(name string, kind Kind) Service {
	return Service{
		Name:        name,
		Kind:        kind,
		Slots:       DefaultSlots,
		MaxWait:     DefaultMaxWait,
		SilentAfter: DefaultSilentAfter,
	}
}

// WithSlots sets how many requests one upstream runs at a time.
func (s Service) WithSlots(slots int) Service {
	s.Slots = slots
	return s
}

// WithWait sets how long a request may wait for a slot.
func (s Service) WithWait(wait time.Duration) Service {
	s.MaxWait = wait
	return s
}

// WithSilence sets how long a running upstream may say nothing.
func (s Service) WithSilence(silence time.Duration) Service {
	s.SilentAfter = silence
	return s
}

// WithFencing marks upstreams that refuse orders with an old fencing number.
func (s Service) WithFencing() Service {
	s.ChecksFencing = true
	return s
}

// Loading adds model versions or adapters that each upstream is ordered to have
// loaded.
func (s Service) Loading(names ...string) Service {
	s.Load = append(append([]string(nil), s.Load...), names...)
	return s
}

// Continuing marks engines that go on with a partial answer of another one.
func (s Service) Continuing() Service {
	s.Continues = true
	return s
}

// Repeatable marks work that no once rule matches as idempotent.
func (s Service) Repeatable() Service {
	s.Idempotent = true
	return s
}

// RunOnce adds a rule for work that must never run twice: requests of the
// method whose path starts with path.
func (s Service) RunOnce(method, path, why string) Service {
	s.Once = append(append([]Once(nil), s.Once...), Once{Method: method, Path: path, Why: why})
	return s
}

// RunWritesOnce adds rules for all requests under path that change something.
func (s Service) RunWritesOnce(path, why string) Service {
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		s = s.RunOnce(method, path, why)
	}
	return s
}

// WithObjectives sets the service-level objectives.
func (s Service) WithObjectives(objectives Objectives) Service {
	s.Objectives = objectives
	return s
}

// NewOrganisation describes an organisation with its share of the capacity.
func NewOrganisation(name string, share int) Organisation {
	return Organisation{Name: name, Share: share, MaxQueued: DefaultMaxQueued}
}

// WithKey adds an API key; only its digest is kept.
func (o Organisation) WithKey(apiKey string) Organisation {
	return o.WithKeyDigest(KeyDigest(apiKey))
}

// WithKeyDigest adds an API key by its digest.
func (o Organisation) WithKeyDigest(digest string) Organisation {
	o.Keys = append(append([]string(nil), o.Keys...), digest)
	return o
}

// Reaching adds services that the organisation may reach.
func (o Organisation) Reaching(services ...string) Organisation {
	o.Services = append(append([]string(nil), o.Services...), services...)
	return o
}

// WithQueue bounds the requests of the organisation that wait at one router.
func (o Organisation) WithQueue(requests int) Organisation {
	o.MaxQueued = requests
	return o
}

// KeyDigest is the digest of an API key as it stands in a configuration:
// SHA-256 in lower-case hex.
func KeyDigest(apiKey string) string {
	sum := sha256.Sum256([]byte(apiKey))
	return hex.EncodeToString(sum[:])
}
