package config

import (
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"slices"

	"github.com/pkg/errors"
)

const (
	// servicesPerPart and organisationsPerPart are the maximum average numbers
	// of services and organisations per part.
	servicesPerPart      = 32
	organisationsPerPart = 128
	// maxPartBytes is the size above which a list is split into more parts. It is
	// far below the value limit of the key-value service.
	maxPartBytes = 256 << 10
)

// Part is a content-addressed part of a configuration.
type Part struct {
	// Digest is the SHA-256 of Data in hex.
	Digest string
	Data   []byte
}

// partBody is the content of a part: either the fleet's name and some of the
// services, or some of the organisations.
type partBody struct {
	Fleet         string         `yaml:"fleet,omitempty"`
	Services      []Service      `yaml:"services,omitempty"`
	Organisations []Organisation `yaml:"organisations,omitempty"`
}

// PartDigest returns the digest that identifies a part with this content.
func PartDigest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Split returns the configuration as parts: first the services, then the
// organisations. Both are grouped by a hash of their names, so that a change of
// one organisation changes only one part.
func (c *Config) Split() ([]Part, error) {
	canonical := c.canonical()
	parts, err := splitList(canonical.Services, servicesPerPart, serviceName, func(group []Service) partBody {
		return partBody{Fleet: canonical.Fleet, Services: group}
	})
	if err != nil {
		return nil, err
	}
	if len(canonical.Organisations) == 0 {
		return parts, nil
	}
	organisationParts, err := splitList(canonical.Organisations, organisationsPerPart, organisationName, func(group []Organisation) partBody {
		return partBody{Organisations: group}
	})
	return append(parts, organisationParts...), err
}

// splitList returns a list as parts. It doubles the number of groups as long as a
// part is larger than maxPartBytes and there are fewer groups than items.
func splitList[T any](list []T, perPart int, name func(*T) string, body func([]T) partBody) ([]Part, error) {
	groupCount := 1
	for groupCount*perPart < len(list) {
		groupCount *= 2
	}
	for ; ; groupCount *= 2 {
		parts, largest, err := encodeGroups(groupByNameHash(list, groupCount, name), body)
		if err != nil || largest <= maxPartBytes || groupCount >= len(list) {
			return parts, err
		}
	}
}

// encodeGroups encodes each group as a part and returns the size of the largest
// part, too.
func encodeGroups[T any](groups [][]T, body func([]T) partBody) (parts []Part, largest int, err error) {
	for _, group := range groups {
		data, err := marshal(body(group))
		if err != nil {
			return nil, 0, err
		}
		parts = append(parts, Part{Digest: PartDigest(data), Data: data})
		largest = max(largest, len(data))
	}
	return parts, largest, nil
}

// groupByNameHash distributes a list over groupCount groups, a power of two, by a
// hash of the names. It omits empty groups, unless there is only one group.
func groupByNameHash[T any](list []T, groupCount int, name func(*T) string) [][]T {
	out := make([][]T, groupCount)
	for i := range list {
		hash := fnv.New32a()
		hash.Write([]byte(name(&list[i])))
		group := hash.Sum32() % uint32(groupCount)
		out[group] = append(out[group], list[i])
	}
	if groupCount == 1 {
		return out
	}
	return slices.DeleteFunc(out, func(group []T) bool { return len(group) == 0 })
}

// Join assembles a configuration from its parts and checks it. The digest of each
// part must match its data.
func Join(parts []Part) (*Config, error) {
	cfg := &Config{}
	for i, part := range parts {
		if PartDigest(part.Data) != part.Digest {
			return nil, errors.Errorf("part %d does not have the digest %s", i, part.Digest)
		}
		var body partBody
		if faults, _ := decode(part.Data, &body); len(faults) > 0 {
			return nil, errors.Wrapf(faults, "part %d", i)
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
