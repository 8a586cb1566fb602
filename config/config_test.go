package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// sampleBuilder returns a configuration with one service of each kind and two
// organisations.
func sampleBuilder() *Builder {
	return New("busker-power").
		Service(
			PlainService("payment", "/payment/").
				WithSlots(4).
				RunOnce("POST", "/payment/charges", "charges a card"),
			ModelService("assistant", "busker-assistant").
				WithWait(1600*time.Millisecond).
				WithObjectives(Objectives{FirstToken: 1600 * time.Millisecond, Target: 0.95}),
		).
		Organisation(
			NewOrganisation("savannah", 30).WithKey("example-key-savannah").Reaching("payment", "assistant"),
			NewOrganisation("atlanta", 70).WithKey("example-key-atlanta").Reaching("assistant"),
		)
}

// largeBuilder returns a configuration with one service and the given number of
// organisations.
func largeBuilder(organisations int) *Builder {
	b := New("large").Service(ModelService("assistant", "m"))
	for i := range organisations {
		name := fmt.Sprintf("organisation-%05d", i)
		b.Organisation(NewOrganisation(name, 1+i%100).WithKey("example-key-" + name).Reaching("assistant"))
	}
	return b
}

func mustPrint(t testing.TB, c *Config) []byte {
	t.Helper()
	text, err := c.Print()
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestPrintIsCanonicalAndParsesBack(t *testing.T) {
	g := NewWithT(t)
	cfg, err := sampleBuilder().Build()
	g.Expect(err).NotTo(HaveOccurred())
	text := mustPrint(t, cfg)
	g.Expect(string(text)).To(ContainSubstring("max_wait: 1.6s"))
	g.Expect(string(text)).NotTo(ContainSubstring("example-key"))

	reversed := *cfg
	reversed.Organisations = []Organisation{cfg.Organisations[1], cfg.Organisations[0]}
	g.Expect(mustPrint(t, &reversed)).To(Equal(text))

	reparsed, err := Parse(text)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(mustPrint(t, reparsed)).To(Equal(text))
	g.Expect(Diff(cfg, reparsed)).To(BeEmpty())
}

func TestParseReportsFaultLocations(t *testing.T) {
	cfg, err := sampleBuilder().Build()
	if err != nil {
		t.Fatal(err)
	}
	text := string(mustPrint(t, cfg))
	tests := []struct{ name, old, new, want string }{
		{"unknown field", "slots: 4", "slots: 4\n    slot: 4", `unknown field "slot"`},
		{"repeated field", "share: 70", "share: 70\n    share: 71", `already defined`},
		{"share too small", "share: 70", "share: 0", "organisations[0].share: 0 is not between 1 and 10000"},
		{"share not a number", "share: 70", "share: many", "cannot unmarshal"},
		{"digest line", "share: 70", "share: 71", "the digest line says sha256:"},
		{"second document", "fleet: busker-power", "fleet: busker-power\n---\na: b", "text after the end"},
		{"tab", "share: 70", "\tshare: 70", "found a tab character"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := Parse([]byte(strings.Replace(text, test.old, test.new, 1)))
			var faults Faults
			g.Expect(errors.As(err, &faults)).To(BeTrue(), "%v", err)
			g.Expect(faults).To(HaveLen(1))
			g.Expect(faults[0].Line).To(BeNumerically(">", 0))
			g.Expect(faults[0].String()).To(ContainSubstring(test.want))
		})
	}
}

func TestParseReportsDecodingAndCheckFaultsTogether(t *testing.T) {
	g := NewWithT(t)
	cfg, err := sampleBuilder().Build()
	g.Expect(err).NotTo(HaveOccurred())
	text := strings.NewReplacer("slots: 4", "slotz: 4", "share: 70", "share: many", "share: 30", "share: 0").
		Replace(string(mustPrint(t, cfg)))
	_, err = Parse([]byte(text))
	var faults Faults
	g.Expect(errors.As(err, &faults)).To(BeTrue())
	g.Expect(faults.Error()).To(And(
		ContainSubstring(`unknown field "slotz"`),
		ContainSubstring("cannot unmarshal"),
		ContainSubstring("services[1].slots: 0 is not between"),
		ContainSubstring("organisations[1].share: 0 is not between"),
	))
	g.Expect(faults).To(HaveLen(4))
}

func TestParseRejectsEmptyAndOversizedText(t *testing.T) {
	g := NewWithT(t)
	_, err := Parse(nil)
	g.Expect(err).To(MatchError("the text is empty"))
	_, err = Parse(make([]byte, MaxSize+1))
	g.Expect(err).To(MatchError(ContainSubstring("at most")))
}

func TestCheckReportsEveryFault(t *testing.T) {
	tests := []struct {
		name       string
		invalidate func(c *Config)
		want       []string
	}{
		{"names", func(c *Config) { c.Fleet = "Fleet!"; c.Services[0].Name = "" },
			[]string{"fleet: ", "services[0].name: is missing", "organisations[0].services[0]: there is no service"}},
		{"shares", func(c *Config) { c.Organisations[0].Share = 10_001; c.Organisations[1].Share = -1 },
			[]string{"organisations[0].share: 10001 ", "organisations[1].share: -1 "}},
		{"duplicate organisation", func(c *Config) { c.Organisations[1].Name = "savannah" },
			[]string{`organisations[1].name: organisation name "savannah" is already used at organisations[0].name`}},
		{"duplicate key", func(c *Config) { c.Organisations[1].Keys = c.Organisations[0].Keys },
			[]string{"organisations[1].keys[0]: key digest"}},
		{"key not a digest", func(c *Config) { c.Organisations[0].Keys = []string{"secret"} },
			[]string{"organisations[0].keys[0]: not a SHA-256 digest"}},
		{"no key", func(c *Config) { c.Organisations[0].Keys = nil },
			[]string{"organisations[0].keys: 0 is not between 1 and 16"}},
		{"unknown service", func(c *Config) { c.Organisations[0].Services[0] = "booking" },
			[]string{`organisations[0].services[0]: there is no service "booking"`}},
		{"slots and durations", func(c *Config) {
			c.Services[0].Slots = 0
			c.Services[0].MaxWait = -time.Second
			c.Services[0].SilentAfter = 2 * time.Hour
		}, []string{"services[0].slots", "services[0].max_wait", "services[0].silent_after"}},
		{"kind", func(c *Config) { c.Services[0].Kind = "engine" }, []string{`services[0].kind: kind "engine"`}},
		{"reserved prefix", func(c *Config) { c.Services[0].Prefix = "/v1/" },
			[]string{"services[0].once[0].path: ", "services[0].prefix: "}},
		{"path with dot segments in a rule", func(c *Config) { c.Services[0].Once[0].Path = "/payment/../charges" },
			[]string{"services[0].once[0].path: "}},
		{"objectives", func(c *Config) { c.Services[1].Objectives.Target = 95 },
			[]string{"services[1].objectives.target: target 95"}},
		{"load", func(c *Config) {
			c.Services[0].Load = []string{"m"}
			c.Services[1].Load = []string{"a", "", "a"}
		}, []string{
			"services[0].load: a plain service has no load list",
			"services[1].load[1]: is missing",
			`services[1].load[2]: name "a" is already used at services[1].load[0]`,
		}},
		{"too much to load", func(c *Config) { c.Services[1].Load = make([]string, MaxLoad+1) },
			[]string{"services[1].load: 257 names, at most 256 are allowed"}},
		{"queue", func(c *Config) { c.Organisations[0].MaxQueued = 0 }, []string{"organisations[0].max_queued"}},
		{"text", func(c *Config) { c.Services[0].Once[0].Why = "two\nlines" }, []string{"services[0].once[0].why"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			cfg := sampleBuilder().cfg
			test.invalidate(&cfg)
			var faults Faults
			g.Expect(errors.As(cfg.Check(), &faults)).To(BeTrue())
			lines := strings.Split(faults.Error(), "\n")
			g.Expect(lines).To(HaveLen(len(test.want)), faults.Error())
			for _, want := range test.want {
				g.Expect(lines).To(ContainElement(HavePrefix(want)))
			}
		})
	}
}

func TestCheckReportsOverlappingPrefixesAndDuplicateModels(t *testing.T) {
	g := NewWithT(t)
	_, err := sampleBuilder().
		Service(PlainService("refund", "/payment/refund/"), ModelService("other", "busker-assistant")).
		Build()
	g.Expect(err).To(MatchError(And(
		ContainSubstring(`services[2].prefix: "/payment/refund/" overlaps "/payment/" of service "payment"`),
		ContainSubstring(`services[3].model: model "busker-assistant" is already used at services[1].model`),
	)))
}

func TestDiff(t *testing.T) {
	g := NewWithT(t)
	before, after := sampleBuilder().cfg, sampleBuilder().cfg
	after.Organisations[0].Share = 40
	after.Organisations[1].Name = "macon"
	after.Services[0].Once = nil
	after.Services[1].Load = []string{"model-2", "adapter-1"}
	var lines []string
	for _, change := range Diff(&before, &after) {
		lines = append(lines, change.String())
	}
	g.Expect(lines).To(Equal([]string{
		`service "assistant": load changed from nothing to adapter-1, model-2`,
		`service "payment": once changed from POST /payment/charges (charges a card) to nothing`,
		`organisation "atlanta" removed`,
		`organisation "macon" added`,
		`organisation "savannah": share changed from 30 to 40`,
	}))
}
