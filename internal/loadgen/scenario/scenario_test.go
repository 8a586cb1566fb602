package scenario

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/config"
)

func TestScenarioFilesAreValid(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("../../../scenarios/*.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, file := range files {
		s, err := Load(file)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.Name + ".yaml").To(Equal(filepath.Base(file)))
		g.Expect(s.About).NotTo(BeEmpty())
	}
}

const validScenario = `
name: x
kinds: [{name: short, service: assistant, load: 1, min_tokens: 1, max_tokens: 2}]
phases: [{name: only, duration: 1s}]
`

func TestParseReportsTheError(t *testing.T) {
	tests := []struct{ name, old, new, message string }{
		{"no name", "name: x", "name: ''", "name is missing"},
		{"unknown field", "name: x", "name: x\nspeed: 3", "speed"},
		{"too long", "duration: 1s", "duration: 1h", "longer than"},
		{"ramp", "duration: 1s", "duration: 1s, ramp: 2s", "bad duration"},
		{"service", "service: assistant", "service: other", "unknown service"},
		{"load", "load: 1,", "", "needs load"},
		{"crest", "name: x", "name: x\ncrest: high", `no phase "high"`},
		{"contrast", "name: x", "name: x\ncontrast: {kind: long}", `no kind "long"`},
		{"action", "name: x", "name: x\nevents: [{action: melt}]", "unknown action"},
		{"event time", "name: x", "name: x\nevents: [{action: kill, at: 1s}]", "outside of the run"},
		{"slow", "name: x", "name: x\nevents: [{action: slow, factor: 1}]", "factor above 1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validScenario, test.old, test.new, 1)))
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(test.message)))
		})
	}
}

func TestWindowAndPhase(t *testing.T) {
	g := NewWithT(t)
	s := &Scenario{Phases: []Phase{{Name: "a", Duration: time.Second}, {Name: "b", Duration: 2 * time.Second}}}
	begin, end, ok := s.Window("b")
	g.Expect(ok).To(BeTrue())
	g.Expect([]time.Duration{begin, end}).To(Equal([]time.Duration{time.Second, 3 * time.Second}))
	g.Expect(s.PhaseAt(999 * time.Millisecond)).To(Equal(0))
	g.Expect(s.PhaseAt(time.Second)).To(Equal(1))
	g.Expect(s.PhaseAt(time.Hour)).To(Equal(1))
}

func TestConfigHasAKeyForEachOrganisation(t *testing.T) {
	g := NewWithT(t)
	c, err := Config(Sizes{Organisations: 3400, Large: 100, ModelSlots: 8, PlainSlots: 16, MaxQueued: 10, MaxWait: time.Second})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Organisations).To(HaveLen(3400))
	g.Expect(c.Organisations[0].Share).To(Equal(LargeShare))
	g.Expect(c.Organisations[100].Share).To(Equal(1))
	g.Expect(c.Organisations[3399].Keys).To(ConsistOf(config.KeyDigest("example-key-org-3400")))
}
