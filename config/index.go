package config

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"path"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Index provides the lookups that a router needs per request, without scanning
// the configuration. It is safe for concurrent use.
type Index struct {
	// keys holds the API keys by bucketKey of their digests.
	keys map[uint64][]indexedKey
	// services holds all services by name, models the model services by model,
	// and prefixes the plain services by path prefix.
	services map[string]*Service
	models   map[string]*Service
	prefixes map[string]*Service
	// once holds the once rules by service name, longest path first.
	once map[string][]Once
}

// indexedKey is the digest of an API key with the organisation that owns it.
type indexedKey struct {
	digest       [sha256.Size]byte
	organisation *Organisation
}

// NewIndex returns an Index of a configuration that passed Check. The index keeps
// references to c, which must not be modified afterwards.
func NewIndex(c *Config) (*Index, error) {
	x := &Index{
		keys:     make(map[uint64][]indexedKey, len(c.Organisations)),
		services: make(map[string]*Service, len(c.Services)),
		models:   make(map[string]*Service),
		prefixes: make(map[string]*Service),
		once:     make(map[string][]Once),
	}
	for i := range c.Services {
		x.addService(&c.Services[i])
	}
	for i := range c.Organisations {
		if err := x.addOrganisation(&c.Organisations[i]); err != nil {
			return nil, err
		}
	}
	return x, nil
}

// addService indexes a service and its once rules.
func (x *Index) addService(s *Service) {
	x.services[s.Name] = s
	if s.Kind == Model {
		x.models[s.Model] = s
	} else {
		x.prefixes[s.Prefix] = s
	}
	rules := slices.Clone(s.Once)
	for i := range rules {
		rules[i].Path = strings.ToLower(rules[i].Path)
	}
	slices.SortStableFunc(rules, func(a, b Once) int { return cmp.Compare(len(b.Path), len(a.Path)) })
	x.once[s.Name] = rules
}

// addOrganisation indexes the keys of an organisation.
func (x *Index) addOrganisation(o *Organisation) error {
	for _, digest := range o.Keys {
		key := indexedKey{organisation: o}
		if n, err := hex.Decode(key.digest[:], []byte(digest)); err != nil || n != sha256.Size {
			return errors.Errorf("organisation %q: a key digest is not SHA-256 in hex", o.Name)
		}
		bucket := bucketKey(key.digest)
		x.keys[bucket] = append(x.keys[bucket], key)
	}
	return nil
}

// bucketKey returns the first 8 bytes of a digest, the map key of its bucket.
func bucketKey(digest [sha256.Size]byte) uint64 {
	return binary.BigEndian.Uint64(digest[:8])
}

// Organisation returns the organisation that owns an API key. Digests are compared
// in constant time.
func (x *Index) Organisation(apiKey string) (*Organisation, bool) {
	digest := sha256.Sum256([]byte(apiKey))
	for _, key := range x.keys[bucketKey(digest)] {
		if subtle.ConstantTimeCompare(key.digest[:], digest[:]) == 1 {
			return key.organisation, true
		}
	}
	return nil, false
}

// Service returns the service with a name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// Model returns the service that serves a model.
func (x *Index) Model(model string) (*Service, bool) {
	s, ok := x.models[model]
	return s, ok
}

// Path returns the plain service whose prefix matches a decoded request path.
func (x *Index) Path(requestPath string) (*Service, bool) {
	clean := CleanPath(requestPath)
	for i := 1; i < len(clean); i++ {
		if clean[i] != '/' {
			continue
		}
		if s, ok := x.prefixes[clean[:i+1]]; ok {
			return s, true
		}
	}
	return nil, false
}

// Once returns the once rule of a service that matches a request; if several
// match, the one with the longest path. The path must be decoded. Matching
// ignores case and cleans the path, so that neither a different case nor segments
// such as ".." evade a rule.
func (x *Index) Once(service, method, requestPath string) (Once, bool) {
	rules := x.once[service]
	if len(rules) == 0 {
		return Once{}, false
	}
	clean := strings.ToLower(CleanPath(requestPath))
	for _, rule := range rules {
		if strings.EqualFold(rule.Method, method) && strings.HasPrefix(clean, rule.Path) {
			return rule, true
		}
	}
	return Once{}, false
}

// Reaches reports whether the organisation may call a service.
func (o *Organisation) Reaches(service string) bool {
	return slices.Contains(o.Services, service)
}

// CleanPath returns a decoded request path as path.Clean does, but keeps a final
// slash.
func CleanPath(requestPath string) string {
	clean := path.Clean("/" + requestPath)
	if clean != "/" && strings.HasSuffix(requestPath, "/") {
		clean += "/"
	}
	return clean
}
