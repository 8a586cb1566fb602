package config

import (
	"path"
	"strings"
)

// reservedPrefixes are the path prefixes that routers answer themselves or keep for
// model services.
var reservedPrefixes = []string{"/v1/", "/livez/", "/readyz/", "/metrics/", "/debug/"}

// modelPrefix is the prefix of the paths of model services.
const modelPrefix = "/v1/"

// checkPrefix checks the path prefix of a plain service.
func (k *checker) checkPrefix(fieldPath, prefix string) {
	switch {
	case prefix == "":
		k.faults.add(fieldPath, "is missing")
		return
	case !isCleanPath(prefix) || prefix == "/" || !strings.HasSuffix(prefix, "/"):
		k.faults.add(fieldPath, "%q is not a clean path such as \"/booking/\"", prefix)
		return
	}
	for _, reservedPrefix := range reservedPrefixes {
		if overlaps(prefix, reservedPrefix) {
			k.faults.add(fieldPath, "%q overlaps %q, which routers keep for themselves", prefix, reservedPrefix)
		}
	}
}

// checkPrefixOverlap reports a prefix that lies within another service's, or around it.
func (k *checker) checkPrefixOverlap(fieldPath string, earlier []Service, s *Service) {
	if s.Prefix == "" {
		return
	}
	for i := range earlier {
		other := &earlier[i]
		if other.Prefix != "" && overlaps(s.Prefix, other.Prefix) {
			k.faults.add(fieldPath, "%q overlaps %q of service %q", s.Prefix, other.Prefix, other.Name)
		}
	}
}

func overlaps(a, b string) bool {
	return strings.HasPrefix(a, b) || strings.HasPrefix(b, a)
}

// checkMethod checks the method of a once rule.
func (k *checker) checkMethod(fieldPath, method string) {
	if method == "" {
		k.faults.add(fieldPath, "is missing")
		return
	}
	if len(method) > MaxNameLength || strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
		k.faults.add(fieldPath, "%q is not an HTTP method in upper case", method)
	}
}

// checkRulePath checks the path of a once rule of service s.
func (k *checker) checkRulePath(fieldPath string, s *Service, rulePath string) {
	if rulePath == "" {
		k.faults.add(fieldPath, "is missing")
		return
	}
	if !isCleanPath(rulePath) {
		k.faults.add(fieldPath, "%q is not a clean path such as \"/booking/slots\"", rulePath)
		return
	}
	requiredPrefix := s.Prefix
	if s.Kind == Model {
		requiredPrefix = modelPrefix
	}
	if !strings.HasPrefix(rulePath, requiredPrefix) {
		k.faults.add(fieldPath, "%q lies outside of %q", rulePath, requiredPrefix)
	}
}

// isCleanPath reports whether s is an absolute path in its shortest form, with an
// optional final slash.
func isCleanPath(s string) bool {
	if len(s) > MaxTextLength || !strings.HasPrefix(s, "/") || !isPrintableLine(s) {
		return false
	}
	if strings.ContainsAny(s, "?#% \\") {
		return false
	}
	return path.Clean(s) == s || path.Clean(s)+"/" == s
}
