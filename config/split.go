package config

import (
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"

	"github.com/pkg/errors"
)

// organisationsPerPart is how many organisations a part holds on average at
// most; parts stay far below the value limit of the key-value service.
const organisationsPerPart = 128

// Part is a piece of a configuration, named by its content.
type Part struct {
	// Digest is the SHA-256 of Data in hex.
	Digest string
	Data   []byte
}

// partBody is what a part holds: the services, or some of the organisations.
type partBody struct {
	Fleet         string         `yaml:"fleet,omitempty"`
	Services      []Service      `yaml:"services,omitempty"`
	Organisations []Organisation `yaml:"organisations,omitempty"`
}

// PartDigest names a part by its content.
func PartDigest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Split cuts the configuration into parts: first the services, then the
// organisations in groups by a hash of their names, so that a change of one
// organisation changes one part.
func (c *Config) Split() ([]Part, error) {
	canonical := c.canonical()
	bodies := []partBody{{Fleet: canonical.Fleet, Services: canonical.Services}}
	for _, group := range groups(canonical.Organisations) {
		if len(group) > 0 {
			bodies = append(bodies, partBody{Organisations: group})
		}
	}
	parts := make([]Part, 0, len(bodies))
	for i := range bodies {
		data, err := marshal(&bodies[i])
		if err != nil {
			return nil, err
		}
		parts = append(parts, Part{Digest: PartDigest(data), Data: data})
	}
	return parts, nil
}

// groups spreads organisations over a power of two of groups.
func groups(organisations []Organisation) [][]Organisation {
	count := 1
	for count*organisationsPerPart < len(organisations) {
		count *= 2
	}
	out := make([][]Organisation, count)
	for _, o := range organisations {
		hash := fnv.New32a()
		hash.Write([]byte(o.Name))
		group := hash.Sum32() % uint32(count)
		out[group] = append(out[group], o)
	}
	return out
}

// Join puts the parts of a configuration together and checks it. Each part must
// have the digest that names it.
func Join(parts []Part) (*Config, error) {
	cfg := &Config{}
	for i, part := range parts {
		if PartDigest(part.Data) != part.Digest {
			return nil, errors.Errorf("part %d does not have the digest %s", i, part.Digest)
		}
		var body partBody
		if err := decode(part.Data, &body); err != nil {
			return nil, errors.Wrapf(err, "part %d", i)
		}
		if body.Fleet != "" {
			cfg.Fleet = body.Fleet
		}
		cfg.Services = append(cfg.Services, body.Services...)
		cfg.Organisations = append(cfg.Organisations, body.Organisations...)
	}
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return cfg.canonical(), nil
}
