package config

import (
	"fmt"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Check returns all mistakes of the configuration at once, as Faults, or nil.
func (c *Config) Check() error {
	k := checker{}
	k.name("fleet", c.Fleet)
	k.services(c.Services)
	k.organisations(c)
	return k.faults.err()
}

// checker collects faults.
type checker struct {
	faults Faults
}

func (k *checker) services(services []Service) {
	if len(services) > MaxServices {
		k.faults.add("services", "%d services, at most %d fit", len(services), MaxServices)
		return
	}
	names := unique{}
	models := unique{}
	for i := range services {
		s := &services[i]
		path := fmt.Sprintf("services[%d]", i)
		k.name(path+".name", s.Name)
		k.once(path+".name", "service name", s.Name, names)
		k.service(path, s)
		if s.Model != "" {
			k.once(path+".model", "model", s.Model, models)
		}
		k.overlap(path+".prefix", services[:i], s)
	}
}

func (k *checker) service(path string, s *Service) {
	switch s.Kind {
	case Model:
		k.text(path+".model", s.Model, true)
		if s.Prefix != "" {
			k.faults.add(path+".prefix", "a model service has no prefix")
		}
	case Plain:
		k.prefix(path+".prefix", s.Prefix)
		if s.Model != "" {
			k.faults.add(path+".model", "a plain service has no model")
		}
	default:
		k.faults.add(path+".kind", "kind %q is neither %q nor %q", s.Kind, Model, Plain)
	}
	k.between(path+".slots", s.Slots, 1, MaxSlots)
	k.positive(path+".max_wait", s.MaxWait)
	k.positive(path+".silent_after", s.SilentAfter)
	k.load(path+".load", s)
	k.rules(path+".once", s)
	k.objectives(path+".objectives", s)
}

func (k *checker) load(path string, s *Service) {
	if s.Kind == Plain && len(s.Load) > 0 {
		k.faults.add(path, "a plain service loads nothing")
	}
	if len(s.Load) > MaxLoad {
		k.faults.add(path, "%d names, at most %d fit", len(s.Load), MaxLoad)
		return
	}
	seen := unique{}
	for i, name := range s.Load {
		at := fmt.Sprintf("%s[%d]", path, i)
		k.text(at, name, true)
		k.once(at, "name", name, seen)
	}
}

func (k *checker) rules(path string, s *Service) {
	if len(s.Once) > MaxOnce {
		k.faults.add(path, "%d rules, at most %d fit", len(s.Once), MaxOnce)
		return
	}
	seen := unique{}
	for i, rule := range s.Once {
		at := fmt.Sprintf("%s[%d]", path, i)
		k.method(at+".method", rule.Method)
		k.rulePath(at+".path", s, rule.Path)
		k.once(at, "rule", rule.Method+" "+rule.Path, seen)
		k.text(at+".why", rule.Why, false)
	}
}

func (k *checker) objectives(path string, s *Service) {
	o := s.Objectives
	if o == (Objectives{}) {
		return
	}
	k.bounded(path+".first_token", o.FirstToken)
	k.bounded(path+".token_gap", o.TokenGap)
	k.bounded(path+".answer", o.Answer)
	if !(o.Target > 0 && o.Target < 1) {
		k.faults.add(path+".target", "target %v is not between 0 and 1", o.Target)
	}
	if o.FirstToken == 0 && o.TokenGap == 0 && o.Answer == 0 {
		k.faults.add(path, "a target without first_token, token_gap or answer")
	}
	if s.Kind == Plain && (o.FirstToken != 0 || o.TokenGap != 0) {
		k.faults.add(path, "a plain service has no first_token or token_gap")
	}
	if s.Kind == Model && o.Answer != 0 {
		k.faults.add(path+".answer", "a model service has first_token and token_gap, not answer")
	}
}

func (k *checker) organisations(c *Config) {
	if len(c.Organisations) > MaxOrganisations {
		k.faults.add("organisations", "%d organisations, at most %d fit", len(c.Organisations), MaxOrganisations)
		return
	}
	known := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		known[s.Name] = true
	}
	names := unique{}
	keys := unique{}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		path := fmt.Sprintf("organisations[%d]", i)
		k.name(path+".name", o.Name)
		k.once(path+".name", "organisation name", o.Name, names)
		k.between(path+".share", o.Share, MinShare, MaxShare)
		k.between(path+".max_queued", o.MaxQueued, 1, MaxQueuedLimit)
		k.keys(path+".keys", o.Keys, keys)
		k.reach(path+".services", o.Services, known)
	}
}

func (k *checker) keys(path string, digests []string, seen unique) {
	k.between(path, len(digests), 1, MaxKeys)
	for i, digest := range digests {
		at := fmt.Sprintf("%s[%d]", path, i)
		if !isDigest(digest) {
			k.faults.add(at, "not a SHA-256 digest in lower-case hex")
			continue
		}
		k.once(at, "key digest", digest, seen)
	}
}

func (k *checker) reach(path string, services []string, known map[string]bool) {
	if len(services) == 0 {
		k.faults.add(path, "no service to reach")
	}
	seen := unique{}
	for i, name := range services {
		at := fmt.Sprintf("%s[%d]", path, i)
		if !known[name] {
			k.faults.add(at, "there is no service %q", name)
			continue
		}
		k.once(at, "service", name, seen)
	}
}

// unique maps a value to the place where it was seen first.
type unique map[string]string

func (k *checker) once(path, what, value string, seen unique) {
	if first, ok := seen[value]; ok {
		k.faults.add(path, "%s %q stands already at %s", what, value, first)
		return
	}
	seen[value] = path
}

func (k *checker) between(path string, n, low, high int) {
	if n < low || n > high {
		k.faults.add(path, "%d is not between %d and %d", n, low, high)
	}
}

func (k *checker) positive(path string, d time.Duration) {
	if d <= 0 || d > MaxDuration {
		k.faults.add(path, "%v is not between 0s and %v", d, MaxDuration)
	}
}

func (k *checker) bounded(path string, d time.Duration) {
	if d < 0 || d > MaxDuration {
		k.faults.add(path, "%v is not between 0s and %v", d, MaxDuration)
	}
}

// name checks a name: lower-case letters, digits and inner hyphens.
func (k *checker) name(path, name string) {
	switch {
	case name == "":
		k.faults.add(path, "is missing")
	case len(name) > MaxNameLength:
		k.faults.add(path, "has %d bytes, at most %d fit", len(name), MaxNameLength)
	case !isName(name):
		k.faults.add(path, "%q is not made of lower-case letters, digits and inner hyphens", name)
	}
}

// text checks a string of one printable line.
func (k *checker) text(path, text string, required bool) {
	switch {
	case text == "" && required:
		k.faults.add(path, "is missing")
	case len(text) > MaxTextLength:
		k.faults.add(path, "has %d bytes, at most %d fit", len(text), MaxTextLength)
	case !isLine(text):
		k.faults.add(path, "%q is not one line of printable text", text)
	}
}

func isName(s string) bool {
	for _, r := range s {
		if r != '-' && (r < 'a' || r > 'z') && (r < '0' || r > '9') {
			return false
		}
	}
	return !strings.HasPrefix(s, "-") && !strings.HasSuffix(s, "-")
}

func isLine(s string) bool {
	if !utf8.ValidString(s) || strings.TrimSpace(s) != s {
		return false
	}
	for _, r := range s {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

func isDigest(s string) bool {
	if len(s) != 64 {
		return false
	}
	for _, r := range s {
		if (r < 'a' || r > 'f') && (r < '0' || r > '9') {
			return false
		}
	}
	return true
}
