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

// Index answers a router's questions about a configuration without scanning it.
// It is safe for concurrent use.
type Index struct {
	keys     map[uint64][]indexedKey
	services map[string]*Service
	models   map[string]*Service
	prefixes map[string]*Service
	once     map[string][]Once
}

// indexedKey is an API key of an organisation.
type indexedKey struct {
	digest       [sha256.Size]byte
	organisation *Organisation
}

// NewIndex compiles a configuration that passed Check. The index refers to c,
// which must not change any more.
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

func (x *Index) addOrganisation(o *Organisation) error {
	for _, digest := range o.Keys {
		key := indexedKey{organisation: o}
		if n, err := hex.Decode(key.digest[:], []byte(digest)); err != nil || n != sha256.Size {
			return errors.Errorf("organisation %q: bad key digest", o.Name)
		}
		bucket := bucketKey(key.digest)
		x.keys[bucket] = append(x.keys[bucket], key)
	}
	return nil
}

func bucketKey(digest [sha256.Size]byte) uint64 {
	return binary.BigEndian.Uint64(digest[:8])
}

// Organisation finds the organisation of an API key. Keys are compared by their
// digests, in constant time.
func (x *Index) Organisation(apiKey string) (*Organisation, bool) {
	digest := sha256.Sum256([]byte(apiKey))
	for _, key := range x.keys[bucketKey(digest)] {
		if subtle.ConstantTimeCompare(key.digest[:], digest[:]) == 1 {
			return key.organisation, true
		}
	}
	return nil, false
}

// Service finds a service by name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// Model finds the model service that serves a model.
func (x *Index) Model(model string) (*Service, bool) {
	s, ok := x.models[model]
	return s, ok
}

// Path finds the plain service whose prefix a decoded request path lies under.
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

// Once finds the rule with the longest path that a request of a service falls
// under. It errs on the safe side: neither case nor a detour in the path evades a
// rule. The path is decoded.
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

// CleanPath returns the shortest form of a decoded request path; a final slash
// stays.
func CleanPath(requestPath string) string {
	clean := path.Clean("/" + requestPath)
	if clean != "/" && strings.HasSuffix(requestPath, "/") {
		clean += "/"
	}
	return clean
}
