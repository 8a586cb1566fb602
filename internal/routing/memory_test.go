package routing

import (
	"runtime"
	"testing"
	"weak"

	. "github.com/onsi/gomega"
)

// A request that lasts long keeps its own route in memory, not all those of its version.
func TestRouteDoesNotKeepItsTable(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(1, Limits{}, []Route{{Host: "h", Prefix: "/a/"}, {Host: "h", Prefix: "/b/"}}, []Service{{Name: "a"}, {Name: "b"}}, nil)
	own, other := table.Match("h", "/a/"), weak.Make(table.Match("h", "/b/"))
	service := weak.Make(table.Service("b"))
	table = nil
	g.Eventually(func() bool { runtime.GC(); return other.Value() == nil && service.Value() == nil }).Should(BeTrue())
	g.Expect(own.Prefix).To(Equal("/a/"))
}
