package configcheck

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/routing"
)

// sound returns a configuration without findings.
func sound() *routing.Config {
	return &routing.Config{
		Version: 3,
		Limits:  routing.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20, TokenRate: 1000},
		Routes: []routing.Route{
			{Name: "chat", Host: "a.example", Prefix: "/chat/", Kind: routing.ResumableStream, Timeout: time.Second, LatencyTarget: 100 * time.Millisecond, GapTarget: 50 * time.Millisecond, MaxAttempts: 2, Targets: []routing.Target{{Service: "model", Weight: 1}}},
			{Name: "look", Host: "a.example", Prefix: "/", Kind: routing.Idempotent, MaxAttempts: 2, Targets: []routing.Target{{Service: "plain", Weight: 9}, {Service: "model", Weight: 1}}},
		},
		Services: []routing.Service{
			{Name: "model", Engine: &routing.Engine{Slots: 4, CacheTokens: 100, TokenBytes: 1, LinkBytesPerSecond: 1, Moves: true}},
			{Name: "plain", Cold: &routing.ColdStart{Duration: time.Second, PerSecond: 2}},
		},
		Organisations: []routing.Organisation{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}},
	}
}

func TestFindings(t *testing.T) {
	route := func(i int, f Field) Place { return Place{List: Routes, Index: i, Field: f} }
	service := func(i int, f Field) Place { return Place{List: Services, Index: i, Field: f} }
	org := func(i int, f Field, item int) Place { return Place{Organisations, i, f, item} }
	for name, c := range map[string]struct {
		change func(*routing.Config)
		want   Place
		s      Severity
	}{
		"no version":      {func(c *routing.Config) { c.Version = 0 }, Place{Field: Version}, Error},
		"same place":      {func(c *routing.Config) { c.Routes[1].Prefix, c.Routes[1].Host = "/chat/", "A.example:80" }, route(1, Prefix), Error},
		"no host":         {func(c *routing.Config) { c.Routes[0].Host = "" }, route(0, Prefix), Error},
		"no first slash":  {func(c *routing.Config) { c.Routes[0].Prefix = "chat/" }, route(0, Prefix), Error},
		"no last slash":   {func(c *routing.Config) { c.Routes[0].Prefix = "/chat" }, route(0, Prefix), Error},
		"unknown service": {func(c *routing.Config) { c.Routes[1].Targets[1].Service = "gone" }, Place{Routes, 1, Targets, 1}, Error},
		"no service": {func(c *routing.Config) {
			c.Routes[1].Targets = []routing.Target{{Service: "plain"}, {Service: "plain"}}
		}, route(1, Targets), Error},
		"weight 0":              {func(c *routing.Config) { c.Routes[1].Targets[1].Weight = 0 }, Place{Routes, 1, Targets, 1}, Warning},
		"late target":           {func(c *routing.Config) { c.Routes[0].LatencyTarget = time.Minute }, route(0, LatencyTarget), Warning},
		"long gap":              {func(c *routing.Config) { c.Routes[0].GapTarget = time.Minute }, route(0, GapTarget), Warning},
		"gap without stream":    {func(c *routing.Config) { c.Routes[1].GapTarget = time.Second }, route(1, GapTarget), Warning},
		"attempts in vain":      {func(c *routing.Config) { c.Routes[0].Kind = routing.Stream }, route(0, MaxAttempts), Warning},
		"negative time":         {func(c *routing.Config) { c.Routes[1].Timeout = -1 }, route(1, Timeout), Error},
		"unused service":        {func(c *routing.Config) { c.Services = append(c.Services, routing.Service{Name: "idle"}) }, service(2, Name), Warning},
		"service twice":         {func(c *routing.Config) { c.Services = append(c.Services, c.Services[0]) }, service(0, Name), Error},
		"cold without load":     {func(c *routing.Config) { c.Services[1].Cold.PerSecond = 0.5 }, service(1, Cold), Warning},
		"cold unknown":          {func(c *routing.Config) { c.Services[1].Cold, c.Services[1].ColdUnknown = nil, true }, service(1, Cold), Error},
		"no slots":              {func(c *routing.Config) { c.Services[0].Engine.Slots = 0 }, service(0, Slots), Error},
		"no memory":             {func(c *routing.Config) { c.Services[0].Engine.CacheTokens = 0 }, service(0, CacheTokens), Error},
		"moves of unknown time": {func(c *routing.Config) { c.Services[0].Engine.TokenBytes = 0 }, service(0, Moves), Warning},
		"key of two":            {func(c *routing.Config) { c.Organisations[1].Keys[0] = "k2" }, org(0, Keys, 1), Error},
		"key twice":             {func(c *routing.Config) { c.Organisations[0].Keys[1] = "k1" }, org(0, Keys, 1), Warning},
		"empty key":             {func(c *routing.Config) { c.Organisations[1].Keys[0] = "" }, org(1, Keys, 0), Error},
		"no keys":               {func(c *routing.Config) { c.Organisations[1].Keys = nil }, org(1, Keys, 0), Warning},
		"rate without engines":  {func(c *routing.Config) { c.Services[0].Engine = nil }, Place{List: Limits, Field: TokenRate}, Warning},
		"negative limit":        {func(c *routing.Config) { c.Limits.BodyBytes = -1 }, Place{List: Limits, Field: BodyBytes}, Error},
		"no common region": {func(c *routing.Config) {
			c.Routes[0].Regions = []string{"north"}
			c.Organisations[0].Regions, c.Organisations[1].Regions = []string{"south"}, []string{"east"}
		}, route(0, Regions), Error},
		"organisation without a region": {func(c *routing.Config) {
			c.Routes[0].Regions, c.Routes[1].Regions = []string{"north"}, []string{"north"}
			c.Organisations[1].Regions = []string{"south"}
		}, org(1, Regions, 0), Warning},
	} {
		t.Run(name, func(t *testing.T) {
			g, config := NewWithT(t), sound()
			g.Expect(Check(config, nil).List).To(BeEmpty())
			c.change(config)
			f := Check(config, nil)
			g.Expect(f.List).To(HaveLen(1), "%v", f.List)
			g.Expect(f.List[0].Place).To(Equal(c.want))
			g.Expect(f.List[0].Severity).To(Equal(c.s), f.List[0].Message)
		})
	}
}

func TestKeysAreNotPrinted(t *testing.T) {
	g, c := NewWithT(t), sound()
	const secret = "a-secret-key"
	c.Organisations[0].Keys, c.Organisations[1].Keys = []string{secret, secret}, []string{secret}
	g.Expect(fmt.Sprint(Check(c, nil).List, Diff(sound(), c))).NotTo(ContainSubstring(secret))
}

func TestFindingsAreBounded(t *testing.T) {
	g, c := NewWithT(t), sound()
	for range 2 * maxFindings {
		c.Services = append(c.Services, routing.Service{})
	}
	f := Check(c, nil)
	g.Expect(f.List).To(HaveLen(maxFindings))
	g.Expect(f.OmittedErrors).To(BeNumerically(">", 0), "an error beyond the bound counts")
}

func TestDifferences(t *testing.T) {
	g, next := NewWithT(t), sound()
	g.Expect(Diff(sound(), sound())).To(BeEmpty())
	next.Version = 4
	next.Routes[0].Timeout = 2 * time.Second
	next.Routes = append(next.Routes[:1], routing.Route{Host: "a.example", Prefix: "/new/", Public: true, Targets: []routing.Target{{Service: "plain", Weight: 1}}})
	next.Services[1].MaxConns = 7
	next.Organisations[0].Keys, next.Organisations[1].Keys = []string{"k1"}, []string{"k2", "k3"}
	next.Limits.BodyBytes = 5
	const every = everyOrganisation
	g.Expect(Diff(sound(), next)).To(Equal([]Difference{
		{"changed", "limits", []string{"body bytes: 1048576 -> 5"}, []string{every}},
		{"removed", "route a.example/", nil, []string{"service plain", "service model", every}},
		{"changed", "route a.example/chat/", []string{"time limit: 1s -> 2s"}, []string{every, "service model"}},
		{"added", "route a.example/new/", nil, []string{"service plain", "callers without a key"}},
		{"changed", "service plain", []string{"connections: 0 -> 7"}, []string{"route a.example/", "route a.example/new/"}},
		{"changed", "key " + KeyDigest("k2"), []string{"organisation: one -> two"}, []string{"organisation one", "organisation two"}},
	}))
	f := &Findings{}
	f.CheckAgainst(sound(), next)
	g.Expect(f.List).To(BeEmpty())
	f.CheckAgainst(next, sound())
	g.Expect(f.List).To(HaveLen(1))
}

// A file with many different lists of regions is not compared pair by pair without a bound.
func TestManyListsOfRegions(t *testing.T) {
	g, c := NewWithT(t), &routing.Config{Version: 1}
	for i := range 17000 {
		c.Routes = append(c.Routes, routing.Route{Regions: []string{fmt.Sprint("north-", i)}})
		c.Organisations = append(c.Organisations, routing.Organisation{Regions: []string{fmt.Sprint("south-", i)}})
	}
	f := &Findings{}
	checkRegions(f, c, c.Table())
	g.Expect(f.List).To(HaveLen(1))
	g.Expect(f.List[0].Severity).To(Equal(Warning))
	g.Expect(f.OmittedErrors).To(BeZero())
}
