package main

import (
	"flag"
	"testing"

	"github.com/onsi/gomega"
)

func TestFlagOverridesEnvironment(t *testing.T) {
	g := gomega.NewWithT(t)
	t.Setenv("JUJUBEFORD_STANDIN_TOKEN_TIME", "7ms")
	t.Setenv("JUJUBEFORD_STANDIN_SLOTS", "3")
	command := &engineCommand{}
	flags := flag.NewFlagSet("engine", flag.ContinueOnError)
	command.SetFlags(flags)
	g.Expect(flags.Parse([]string{"-slots", "5"})).To(gomega.Succeed())
	g.Expect(setFromEnv(flags)).To(gomega.Succeed())
	g.Expect(command.options.TokenTime.String()).To(gomega.Equal("7ms"))
	g.Expect(command.options.Slots).To(gomega.Equal(5))
}

func TestEveryInvalidFlagIsNamed(t *testing.T) {
	g := gomega.NewWithT(t)
	t.Setenv("JUJUBEFORD_STANDIN_TOKEN_TIME", "soon")
	t.Setenv("JUJUBEFORD_STANDIN_SLOTS", "many")
	command := &engineCommand{}
	flags := flag.NewFlagSet("engine", flag.ContinueOnError)
	command.SetFlags(flags)
	g.Expect(setFromEnv(flags)).To(gomega.MatchError(gomega.And(
		gomega.ContainSubstring("JUJUBEFORD_STANDIN_TOKEN_TIME"),
		gomega.ContainSubstring("JUJUBEFORD_STANDIN_SLOTS"))))
	command.options.Slots, command.options.TokenTime, command.count = 0, 0, 0
	g.Expect(command.validate()).To(gomega.MatchError(gomega.And(
		gomega.ContainSubstring("-slots"),
		gomega.ContainSubstring("-token-time"),
		gomega.ContainSubstring("-count"))))
}

func TestConsecutivePorts(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, c := range []struct {
		addr string
		i    int
		want string
	}{
		{"127.0.0.1:1000", 0, "127.0.0.1:1000"},
		{"127.0.0.1:1000", 2, "127.0.0.1:1002"},
		{"127.0.0.1:0", 2, "127.0.0.1:0"},
	} {
		got, err := offsetPort(c.addr, c.i)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got).To(gomega.Equal(c.want))
	}
	_, err := offsetPort("nowhere", 0)
	g.Expect(err).To(gomega.HaveOccurred())
}
