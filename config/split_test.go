package config

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const (
	// targetOrganisations is the number of organisations that a configuration
	// must be able to hold.
	targetOrganisations = 3_400
	// valueLimit is the maximum size of a value in the key-value service, in
	// bytes.
	valueLimit = 1 << 20
)

// nearLimitBuilder returns a configuration with services of almost the maximum
// size and organisations that may call all of them.
func nearLimitBuilder(services, organisations int) *Builder {
	b := New("bulky")
	var names []string
	for i := range services {
		name := fmt.Sprintf("%0*d", MaxNameLength, i)
		names = append(names, name)
		s := PlainService(name, "/"+name+"/")
		for j := range MaxOnce {
			s = s.RunOnce("POST", fmt.Sprintf("/%s/%0100d", name, j), strings.Repeat("w", MaxTextLength))
		}
		b.Service(s)
	}
	for i := range organisations {
		name := fmt.Sprintf("%0*d", MaxNameLength, i)
		b.Organisation(NewOrganisation(name, 1).WithKey(name).Reaching(names...))
	}
	return b
}

func TestSplitAndJoin(t *testing.T) {
	for _, builder := range []*Builder{largeBuilder(0), largeBuilder(1), largeBuilder(16), largeBuilder(targetOrganisations), nearLimitBuilder(32, 200)} {
		g := NewWithT(t)
		cfg, err := builder.Build()
		g.Expect(err).NotTo(HaveOccurred())
		parts, err := cfg.Split()
		g.Expect(err).NotTo(HaveOccurred())
		for _, part := range parts {
			g.Expect(len(part.Data)).To(BeNumerically("<", valueLimit/2))
		}
		joined, err := Join(parts)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(Diff(cfg, joined)).To(BeEmpty())
	}
}

func TestPrintRejectsOversizedConfiguration(t *testing.T) {
	g := NewWithT(t)
	cfg, err := nearLimitBuilder(180, 1).Build()
	g.Expect(err).NotTo(HaveOccurred())
	_, err = cfg.Print()
	g.Expect(err).To(MatchError(ContainSubstring("at most 4194304 are allowed")))
}

func TestChangingOneOrganisationChangesOnePart(t *testing.T) {
	g := NewWithT(t)
	cfg, err := largeBuilder(targetOrganisations).Build()
	g.Expect(err).NotTo(HaveOccurred())
	before, err := cfg.Split()
	g.Expect(err).NotTo(HaveOccurred())
	oldDigests := map[string]bool{}
	for _, part := range before {
		oldDigests[part.Digest] = true
	}
	cfg.Organisations[17].Share++
	after, err := cfg.Split()
	g.Expect(err).NotTo(HaveOccurred())
	changed := 0
	for _, part := range after {
		if !oldDigests[part.Digest] {
			changed++
		}
	}
	g.Expect(changed).To(Equal(1))
}

func TestJoinRejectsDamagedParts(t *testing.T) {
	g := NewWithT(t)
	parts, err := sampleBuilder().cfg.Split()
	g.Expect(err).NotTo(HaveOccurred())
	_, err = Join(parts[:1])
	g.Expect(err).NotTo(HaveOccurred(), "a fleet without organisations is valid")
	_, err = Join(parts[1:])
	g.Expect(err).To(HaveOccurred(), "organisations without their services")
	parts[1].Data = append(parts[1].Data, '\n')
	_, err = Join(parts)
	g.Expect(err).To(MatchError(ContainSubstring("does not have the digest")))
}

func BenchmarkParse(b *testing.B) {
	text := mustPrint(b, &largeBuilder(targetOrganisations).cfg)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkPrint(b *testing.B) {
	cfg := &largeBuilder(targetOrganisations).cfg
	for b.Loop() {
		b.SetBytes(int64(len(mustPrint(b, cfg))))
	}
}

func BenchmarkJoin(b *testing.B) {
	parts, err := largeBuilder(targetOrganisations).cfg.Split()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Join(parts); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkIndex(b *testing.B) {
	cfg := &largeBuilder(targetOrganisations).cfg
	for b.Loop() {
		if _, err := NewIndex(cfg); err != nil {
			b.Fatal(err)
		}
	}
}
