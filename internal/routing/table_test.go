package routing

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

func TestMatch(t *testing.T) {
	table := NewTable(1, Limits{}, []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}, nil, nil)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/z", "short"},
		{"a.example", "/x/y/z", "long"},
		{"A.Example:8080", "/x/y/", "long"},
		{"a.example", "/x/yy", "short"},
		{"a.example", "/x", ""},
		{"b.example", "/anything", "other"},
		{"c.example", "/x/", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			got := ""
			if r := table.Match(c.host, c.path); r != nil {
				got = r.Name
			}
			NewWithT(t).Expect(got).To(Equal(c.want))
		})
	}
}

func TestServiceSplitFollowsWeights(t *testing.T) {
	g := NewWithT(t)
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}}}
	const n = 10000
	counts := map[string]int{}
	for i := range n {
		counts[r.SelectService(fmt.Sprint(i))]++
	}
	g.Expect(counts["a"]).To(BeNumerically("~", 9*n/10, n/50))
	g.Expect(counts["a"] + counts["b"]).To(Equal(n))
	g.Expect(r.SelectService("same")).To(Equal(r.SelectService("same")))
	g.Expect((&Route{}).SelectService("id")).To(BeEmpty())
}

func TestOrganisationByKey(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(1, Limits{}, nil, nil, []Organisation{{Name: "org", Keys: []string{"k1", "k2"}}})
	name, ok := table.Organisation("k2")
	g.Expect(ok).To(BeTrue())
	g.Expect(name).To(Equal("org"))
	_, ok = table.Organisation("k3")
	g.Expect(ok).To(BeFalse())
	g.Expect(table.RequiresKey()).To(BeTrue())
	g.Expect(NewTable(1, Limits{}, nil, nil, nil).RequiresKey()).To(BeFalse())
}
