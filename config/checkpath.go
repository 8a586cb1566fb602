package config

import (
	"path"
	"strings"
)

// reservedPrefixes are the path prefixes that plain services may not use: routers
// serve these paths themselves or use them for model services.
var reservedPrefixes = []string{"/v1/", "/livez/", "/readyz/", "/metrics/", "/debug/"}

// modelPrefix is the path prefix of requests for model services.
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
			k.faults.add(fieldPath, "%q overlaps the reserved prefix %q", prefix, reservedPrefix)
		}
	}
}

// checkPrefixOverlap reports earlier services whose prefix contains the prefix of
// s or is contained in it.
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

// overlaps reports whether one of two path prefixes contains the other.
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

// checkRulePath checks that the path of a once rule is clean and under the
// prefix of service s.
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
		k.faults.add(fieldPath, "%q is not under %q", rulePath, requiredPrefix)
	}
}

// isCleanPath reports whether s is an absolute path as path.Clean returns it, with
// an optional final slash. Characters that delimit or escape parts of a URL, spaces
// and backslashes are not allowed.
func isCleanPath(s string) bool {
	if len(s) > MaxTextLength || !strings.HasPrefix(s, "/") || !isPrintableLine(s) {
		return false
	}
	if strings.ContainsAny(s, "?#% \\") {
		return false
	}
	return path.Clean(s) == s || path.Clean(s)+"/" == s
}
