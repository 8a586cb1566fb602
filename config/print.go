package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// digestPrefix starts the header line with the digest.
const digestPrefix = "# digest: "

// digestScheme starts a digest and names its hash function.
const digestScheme = "sha256:"

// Print returns the canonical text of the configuration: a header that explains
// it, and the body. Equal configurations give the same bytes.
func (c *Config) Print() ([]byte, error) {
	body, err := c.canonicalBody()
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	c.writeHeader(&out, bodyDigest(body))
	out.Write(body)
	return out.Bytes(), nil
}

// Digest returns the hash of the configuration's canonical body, which identifies
// the configuration.
func (c *Config) Digest() (string, error) {
	body, err := c.canonicalBody()
	if err != nil {
		return "", err
	}
	return bodyDigest(body), nil
}

// canonicalBody returns the canonical YAML without the header. If it is too large,
// the error is of type Faults.
func (c *Config) canonicalBody() ([]byte, error) {
	body, err := marshal(c.canonical())
	if err == nil && len(body) > MaxSize-headerReserve {
		return nil, Faults{sizeFault(len(body) + headerReserve)}
	}
	return body, err
}

// sizeFault returns the fault for a text that is larger than MaxSize.
func sizeFault(size int) Fault {
	return Fault{Message: fmt.Sprintf("%d bytes, at most %d are allowed", size, MaxSize)}
}

// marshal encodes v as YAML in the canonical format.
func marshal(v any) ([]byte, error) {
	var out bytes.Buffer
	enc := yaml.NewEncoder(&out)
	enc.SetIndent(2)
	if err := enc.Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if err := enc.Close(); err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	return out.Bytes(), nil
}

// bodyDigest returns the digest of a canonical body.
func bodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return digestScheme + hex.EncodeToString(sum[:])
}

// canonical returns a copy in which all lists are sorted.
func (c *Config) canonical() *Config {
	out := &Config{Fleet: c.Fleet}
	for _, s := range c.Services {
		s.Load = sortedCopy(s.Load)
		s.Once = append([]Once(nil), s.Once...)
		sort.Slice(s.Once, func(i, j int) bool { return s.Once[i].less(s.Once[j]) })
		out.Services = append(out.Services, s)
	}
	for _, o := range c.Organisations {
		o.Keys = sortedCopy(o.Keys)
		o.Services = sortedCopy(o.Services)
		out.Organisations = append(out.Organisations, o)
	}
	sort.Slice(out.Services, func(i, j int) bool { return out.Services[i].Name < out.Services[j].Name })
	sort.Slice(out.Organisations, func(i, j int) bool {
		return out.Organisations[i].Name < out.Organisations[j].Name
	})
	return out
}

// less orders once rules by path, then by method.
func (o Once) less(other Once) bool {
	if o.Path != other.Path {
		return o.Path < other.Path
	}
	return o.Method < other.Method
}

// sortedCopy returns a sorted copy of a list.
func sortedCopy(list []string) []string {
	out := append([]string(nil), list...)
	sort.Strings(out)
	return out
}

// legend explains the fields in the header. Its placeholder is the sum of all
// shares.
const legend = `
services: what can be called.
  slots: requests that one replica runs at a time
  max_wait: longest wait before a request is refused
  silent_after: how long a replica may say nothing before its work has failed
  checks_fencing: whether replicas refuse outdated orders
  load: what each replica is ordered to have loaded
  continues: whether a replica can go on with an answer that another one began
  idempotent: whether work that "once" does not list may be sent again
  once: work that never runs twice
  objectives: what is aimed at; target 0.95 means 95 in 100 requests
organisations: who may call.
  share: weight when all want service at once, out of %d in all
  keys: fingerprints of the access keys, which cannot be found from them
  services: all that the organisation may call
  max_queued: requests that may wait at one router

`

// writeHeader writes the comment at the start of the text: a summary, the legend
// and the digest line.
func (c *Config) writeHeader(out *bytes.Buffer, digest string) {
	shares := 0
	for _, o := range c.Organisations {
		shares += o.Share
	}
	text := fmt.Sprintf("Configuration of the fleet %q; services: %d, organisations: %d.\n",
		c.Fleet, len(c.Services), len(c.Organisations))
	text += fmt.Sprintf(legend, shares)
	for _, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		out.WriteString(strings.TrimRight("# "+line, " ") + "\n")
	}
	out.WriteString(digestPrefix + digest + "\n")
}
