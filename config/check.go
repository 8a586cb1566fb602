package config

import (
	"fmt"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Check validates the configuration. It returns all errors together, as Faults,
// or nil.
func (c *Config) Check() error {
	k := checker{}
	k.checkName("fleet", c.Fleet)
	k.checkServices(c.Services)
	k.checkOrganisations(c)
	return k.faults.err()
}

// checker collects the faults that its methods find. A method's path argument is
// the Path of the faults.
type checker struct {
	faults Faults
}

// checkServices checks the services and what must be unique among them.
func (k *checker) checkServices(services []Service) {
	if len(services) > MaxServices {
		k.faults.add("services", "%d services, at most %d are allowed", len(services), MaxServices)
		return
	}
	names := firstPaths{}
	models := firstPaths{}
	for i := range services {
		s := &services[i]
		path := fmt.Sprintf("services[%d]", i)
		k.checkName(path+".name", s.Name)
		k.checkUnique(path+".name", "service name", s.Name, names)
		k.checkService(path, s)
		if s.Model != "" {
			k.checkUnique(path+".model", "model", s.Model, models)
		}
		k.checkPrefixOverlap(path+".prefix", services[:i], s)
	}
}

// checkService checks one service by itself, except for its name.
func (k *checker) checkService(path string, s *Service) {
	switch s.Kind {
	case Model:
		k.checkText(path+".model", s.Model, true)
		if s.Prefix != "" {
			k.faults.add(path+".prefix", "a model service has no prefix")
		}
	case Plain:
		k.checkPrefix(path+".prefix", s.Prefix)
		if s.Model != "" {
			k.faults.add(path+".model", "a plain service has no model")
		}
	default:
		k.faults.add(path+".kind", "kind %q is neither %q nor %q", s.Kind, Model, Plain)
	}
	k.checkRange(path+".slots", s.Slots, 1, MaxSlots)
	k.checkPositiveDuration(path+".max_wait", s.MaxWait)
	k.checkPositiveDuration(path+".silent_after", s.SilentAfter)
	k.checkLoad(path+".load", s)
	k.checkOnceRules(path+".once", s)
	k.checkObjectives(path+".objectives", s)
}

// checkLoad checks the load list of a service.
func (k *checker) checkLoad(path string, s *Service) {
	if s.Kind == Plain && len(s.Load) > 0 {
		k.faults.add(path, "a plain service has no load list")
	}
	if len(s.Load) > MaxLoad {
		k.faults.add(path, "%d names, at most %d are allowed", len(s.Load), MaxLoad)
		return
	}
	seen := firstPaths{}
	for i, name := range s.Load {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		k.checkText(itemPath, name, true)
		k.checkUnique(itemPath, "name", name, seen)
	}
}

// checkOnceRules checks the once rules of a service.
func (k *checker) checkOnceRules(path string, s *Service) {
	if len(s.Once) > MaxOnce {
		k.faults.add(path, "%d rules, at most %d are allowed", len(s.Once), MaxOnce)
		return
	}
	seen := firstPaths{}
	for i, rule := range s.Once {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		k.checkMethod(itemPath+".method", rule.Method)
		k.checkRulePath(itemPath+".path", s, rule.Path)
		k.checkUnique(itemPath, "rule", rule.Method+" "+rule.Path, seen)
		k.checkText(itemPath+".why", rule.Why, false)
	}
}

// checkObjectives checks the objectives of a service, if any are set.
func (k *checker) checkObjectives(path string, s *Service) {
	o := s.Objectives
	if o == (Objectives{}) {
		return
	}
	k.checkOptionalDuration(path+".first_token", o.FirstToken)
	k.checkOptionalDuration(path+".token_gap", o.TokenGap)
	k.checkOptionalDuration(path+".answer", o.Answer)
	if !(o.Target > 0 && o.Target < 1) {
		k.faults.add(path+".target", "target %v is not between 0 and 1", o.Target)
	}
	if o.FirstToken == 0 && o.TokenGap == 0 && o.Answer == 0 {
		k.faults.add(path, "target is set, but none of first_token, token_gap and answer")
	}
	if s.Kind == Plain && (o.FirstToken != 0 || o.TokenGap != 0) {
		k.faults.add(path, "a plain service has no first_token or token_gap")
	}
	if s.Kind == Model && o.Answer != 0 {
		k.faults.add(path+".answer", "a model service has first_token and token_gap, not answer")
	}
}

// checkOrganisations checks the organisations and what must be unique among
// them.
func (k *checker) checkOrganisations(c *Config) {
	if len(c.Organisations) > MaxOrganisations {
		k.faults.add("organisations", "%d organisations, at most %d are allowed", len(c.Organisations), MaxOrganisations)
		return
	}
	knownServices := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		knownServices[s.Name] = true
	}
	names := firstPaths{}
	keys := firstPaths{}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		path := fmt.Sprintf("organisations[%d]", i)
		k.checkName(path+".name", o.Name)
		k.checkUnique(path+".name", "organisation name", o.Name, names)
		k.checkRange(path+".share", o.Share, MinShare, MaxShare)
		k.checkRange(path+".max_queued", o.MaxQueued, 1, MaxQueuedLimit)
		k.checkKeys(path+".keys", o.Keys, keys)
		k.checkReachableServices(path+".services", o.Services, knownServices)
	}
}

// checkKeys checks the key digests of an organisation. seen holds the digests of
// all organisations: a key belongs to one organisation only.
func (k *checker) checkKeys(path string, digests []string, seen firstPaths) {
	k.checkRange(path, len(digests), 1, MaxKeys)
	for i, digest := range digests {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		if !isKeyDigest(digest) {
			k.faults.add(itemPath, "not a SHA-256 digest in lower-case hex")
			continue
		}
		k.checkUnique(itemPath, "key digest", digest, seen)
	}
}

// checkReachableServices checks the services that an organisation may call.
func (k *checker) checkReachableServices(path string, services []string, knownServices map[string]bool) {
	if len(services) == 0 {
		k.faults.add(path, "lists no service")
	}
	seen := firstPaths{}
	for i, name := range services {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		if !knownServices[name] {
			k.faults.add(itemPath, "there is no service %q", name)
			continue
		}
		k.checkUnique(itemPath, "service", name, seen)
	}
}

// firstPaths maps a value to the path where it occurred first.
type firstPaths map[string]string

// checkUnique reports a value that is in seen already, and adds it otherwise.
func (k *checker) checkUnique(path, kind, value string, seen firstPaths) {
	if first, ok := seen[value]; ok {
		k.faults.add(path, "%s %q is already used at %s", kind, value, first)
		return
	}
	seen[value] = path
}

// checkRange checks that low <= n <= high.
func (k *checker) checkRange(path string, n, low, high int) {
	if n < low || n > high {
		k.faults.add(path, "%d is not between %d and %d", n, low, high)
	}
}

// checkPositiveDuration checks a duration that must be set.
func (k *checker) checkPositiveDuration(path string, d time.Duration) {
	if d <= 0 || d > MaxDuration {
		k.faults.add(path, "%v is not between 0s and %v", d, MaxDuration)
	}
}

// checkOptionalDuration checks a duration that may be zero.
func (k *checker) checkOptionalDuration(path string, d time.Duration) {
	if d < 0 || d > MaxDuration {
		k.faults.add(path, "%v is not between 0s and %v", d, MaxDuration)
	}
}

// checkName checks that a name is set, is not too long and consists of
// lower-case letters, digits and inner hyphens.
func (k *checker) checkName(path, name string) {
	switch {
	case name == "":
		k.faults.add(path, "is missing")
	case len(name) > MaxNameLength:
		k.faults.add(path, "has %d bytes, at most %d are allowed", len(name), MaxNameLength)
	case !isName(name):
		k.faults.add(path, "%q is not made of lower-case letters, digits and inner hyphens", name)
	}
}

// checkText checks that a text is one line of printable characters.
func (k *checker) checkText(path, text string, required bool) {
	switch {
	case text == "" && required:
		k.faults.add(path, "is missing")
	case len(text) > MaxTextLength:
		k.faults.add(path, "has %d bytes, at most %d are allowed", len(text), MaxTextLength)
	case !isPrintableLine(text):
		k.faults.add(path, "%q is not one line of printable text", text)
	}
}

// isName reports whether s consists of lower-case letters, digits and inner
// hyphens.
func isName(s string) bool {
	for _, r := range s {
		if r != '-' && (r < 'a' || r > 'z') && (r < '0' || r > '9') {
			return false
		}
	}
	return !strings.HasPrefix(s, "-") && !strings.HasSuffix(s, "-")
}

// isPrintableLine reports whether s is valid UTF-8, consists of printable
// characters and ASCII spaces only, and neither starts nor ends with a space.
func isPrintableLine(s string) bool {
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

// isKeyDigest reports whether s is a SHA-256 digest in lower-case hex.
func isKeyDigest(s string) bool {
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
