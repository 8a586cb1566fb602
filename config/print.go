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

// digestPrefix starts the header line that carries the digest.
const digestPrefix = "# digest: "

// digestScheme names the hash of a digest.
const digestScheme = "sha256:"

// Print returns the canonical text: a header for readers and the body. The same
// configuration always gives the same bytes.
func (c *Config) Print() ([]byte, error) {
	body, err := c.body()
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	c.header(&out, digestOf(body))
	out.Write(body)
	return out.Bytes(), nil
}

// Digest names the configuration by the hash of its canonical body.
func (c *Config) Digest() (string, error) {
	body, err := c.body()
	if err != nil {
		return "", err
	}
	return digestOf(body), nil
}

// body returns the canonical YAML without the header.
func (c *Config) body() ([]byte, error) {
	return marshal(c.canonical())
}

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

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return digestScheme + hex.EncodeToString(sum[:])
}

// canonical returns a copy in canonical order.
func (c *Config) canonical() *Config {
	out := &Config{Fleet: c.Fleet}
	for _, s := range c.Services {
		s.Once = append([]Once(nil), s.Once...)
		sort.Slice(s.Once, func(i, j int) bool { return s.Once[i].less(s.Once[j]) })
		out.Services = append(out.Services, s)
	}
	for _, o := range c.Organisations {
		o.Keys = sorted(o.Keys)
		o.Services = sorted(o.Services)
		out.Organisations = append(out.Organisations, o)
	}
	sort.Slice(out.Services, func(i, j int) bool { return out.Services[i].Name < out.Services[j].Name })
	sort.Slice(out.Organisations, func(i, j int) bool {
		return out.Organisations[i].Name < out.Organisations[j].Name
	})
	return out
}

func (o Once) less(other Once) bool {
	if o.Path != other.Path {
		return o.Path < other.Path
	}
	return o.Method < other.Method
}

func sorted(list []string) []string {
	out := append([]string(nil), list...)
	sort.Strings(out)
	return out
}

// header writes the comment that explains the text to its readers.
func (c *Config) header(out *bytes.Buffer, digest string) {
	shares := 0
	for _, o := range c.Organisations {
		shares += o.Share
	}
	lines := []string{
		fmt.Sprintf("Configuration of the fleet %q: %d services, %d organisations.",
			c.Fleet, len(c.Services), len(c.Organisations)),
		"",
		"services: what can be called. slots: requests one upstream runs at a time;",
		"max_wait: the longest wait before a refusal; once: work that never runs twice.",
		"",
		"organisations: who may call. share: the part of the capacity when all want",
		fmt.Sprintf("service at once, out of %d in all; keys: fingerprints of the access keys,", shares),
		"from which the keys cannot be found; services: all that the organisation may",
		"reach; max_queued: requests that may wait at one router.",
	}
	for _, line := range lines {
		out.WriteString(strings.TrimRight("# "+line, " ") + "\n")
	}
	out.WriteString("#\n" + digestPrefix + digest + "\n")
}
