package main

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/config"
)

func TestCommittedConfigMatchesOutput(t *testing.T) {
	g := NewWithT(t)
	text, err := renderConfig()
	g.Expect(err).NotTo(HaveOccurred())
	committed, err := os.ReadFile("config.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(committed)).To(Equal(string(text)))
	cfg, err := config.Parse(committed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cfg.Organisations).To(HaveLen(16))
}
