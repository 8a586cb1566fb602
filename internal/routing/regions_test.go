package routing

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestRouteAndOrganisationBothBind(t *testing.T) {
	for name, x := range map[string]struct {
		route, org, allowed, denied []string
	}{
		"none":        {nil, nil, []string{"north", "south", ""}, nil},
		"empty lists": {[]string{}, []string{}, []string{"north", ""}, nil},
		"route":       {[]string{"north"}, nil, []string{"north"}, []string{"south", ""}},
		"org":         {nil, []string{"north", "east"}, []string{"north", "east"}, []string{"south", ""}},
		"both":        {[]string{"north", "south"}, []string{"north", "east"}, []string{"north"}, []string{"south", "east", ""}},
		"disjoint":    {[]string{"south"}, []string{"north"}, nil, []string{"north", "south", ""}},
		"empty name":  {[]string{""}, nil, nil, []string{"north", ""}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := NewTable(1, Limits{}, []Route{{Prefix: "/", Regions: x.route}}, nil, []Organisation{{Name: "org", Regions: x.org}})
			regions := table.AllowedRegions(table.Match("", "/"), "org")
			for _, region := range x.allowed {
				g.Expect(regions.Allows(region)).To(BeTrue(), region)
			}
			for _, region := range x.denied {
				g.Expect(regions.Allows(region)).To(BeFalse(), region)
			}
		})
	}
}

func TestNamedRegions(t *testing.T) {
	table := NewTable(1, Limits{}, []Route{{Regions: []string{"south", "north"}}}, nil, []Organisation{{Name: "a", Regions: []string{"north"}}, {Name: "b"}})
	NewWithT(t).Expect(table.NamedRegions()).To(Equal([]string{"north", "south"}))
}
