package routing

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Shadowed and Matchable say what Match does.
func TestRoutesThatNeverMatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		routes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Route {
			return Route{
				Host:   rapid.SampledFrom([]string{"a.example", "A.example:80", "b.example", "", ":80"}).Draw(t, "host"),
				Prefix: rapid.SampledFrom([]string{"/", "/x/", "/x/y/", "/x", "x/", ""}).Draw(t, "prefix"),
			}
		}), 1, 8).Draw(t, "routes")
		c := Config{Version: 1, Routes: routes}
		table, shadowed := c.Table(), Shadowed(routes)
		for i, r := range routes {
			matched := -1
			for j := range routes {
				if m := table.Match(r.Host, r.Prefix); m != nil && m.Host == routes[j].Host && m.Prefix == routes[j].Prefix {
					matched = j
					break
				}
			}
			other, isShadowed := shadowed[i]
			if isShadowed {
				g.Expect(routes[other].SameRequests(&routes[i])).To(BeTrue())
				g.Expect(other).To(BeNumerically("<", i))
			}
			if r.Matchable() && !isShadowed {
				g.Expect(routes[matched].SameRequests(&r)).To(BeTrue(), "a request for the prefix itself")
			}
		}
	})
}

func TestSupersedes(t *testing.T) {
	g := NewWithT(t)
	old, same, newer := &Table{Version: 3}, &Table{Version: 3}, &Table{Version: 4}
	g.Expect(same.Supersedes(nil, false)).To(BeTrue())
	g.Expect(newer.Supersedes(old, false)).To(BeTrue())
	g.Expect(old.Supersedes(newer, true)).To(BeFalse())
	g.Expect(same.Supersedes(old, false)).To(BeFalse())
	g.Expect(same.Supersedes(old, true)).To(BeTrue())
}
