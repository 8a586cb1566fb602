package cli

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/gateway"
)

// validDeploy returns a deploy file without faults.
func validDeploy() *Deploy {
	return &Deploy{
		Build: "go build -ldflags=-linkmode=external -o target/ ./cmd/jujubeford",
		Programs: []Program{{
			Role: "router", Path: "target/jujubeford", Args: []string{"gateway", "-metrics-port", "7401"},
			Class: "front", Share: 1, ServesCallers: true, MetricsPort: 7401, MetricsPath: "/metrics",
		}},
	}
}

func TestDeployFaults(t *testing.T) {
	large := filepath.Join(t.TempDir(), "large")
	if err := os.WriteFile(large, make([]byte, templateSizeLimit), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		change func(*Deploy, *Program)
		fault  string
	}{
		"nothing wrong":         {func(*Deploy, *Program) {}, ""},
		"no build":              {func(d *Deploy, _ *Program) { d.Build = "" }, "build: must not be empty"},
		"internal linker":       {func(d *Deploy, _ *Program) { d.Build = "go build" }, "build: must have -linkmode=external"},
		"elsewhere":             {func(_ *Deploy, p *Program) { p.Path = "bin/jujubeford" }, `roles.router: program "bin/jujubeford" is not under target/`},
		"no class":              {func(_ *Deploy, p *Program) { p.Class = "" }, "roles.router: no class of instances"},
		"no share":              {func(_ *Deploy, p *Program) { p.Share = 0 }, "roles.router: neither a share above 0 and at most 1 nor a count"},
		"share over 1":          {func(_ *Deploy, p *Program) { p.Share = 1.5 }, "roles.router: neither a share above 0 and at most 1 nor a count"},
		"a count":               {func(_ *Deploy, p *Program) { p.Share, p.Count = 0, 2 }, ""},
		"no callers":            {func(_ *Deploy, p *Program) { p.ServesCallers = false }, "roles: 0 serve callers, not one"},
		"another command":       {func(_ *Deploy, p *Program) { p.Args[0] = "router" }, `roles.router: arguments ["router" "-metrics-port" "7401"] do not begin with gateway`},
		"unknown flag":          {func(_ *Deploy, p *Program) { p.Args = []string{"gateway", "-nope"} }, "roles.router: arguments: flag provided but not defined: -nope"},
		"a word too many":       {func(_ *Deploy, p *Program) { p.Args = append(p.Args, "more") }, `roles.router: arguments: "more" is no flag`},
		"bad flag in env":       {func(_ *Deploy, p *Program) { p.Env = map[string]string{"JUJUBEFORD_POLICY": "random"} }, "roles.router: -policy (JUJUBEFORD_POLICY): "},
		"metrics elsewhere":     {func(_ *Deploy, p *Program) { p.MetricsPort = 7402 }, "roles.router: metrics are served on port 7401 and fetched from 7402"},
		"metrics at other path": {func(_ *Deploy, p *Program) { p.MetricsPath = "/m" }, "roles.router: metrics are served at /metrics and fetched from /m"},
		"no template":           {func(_ *Deploy, p *Program) { p.Template = large + "-not" }, "roles.router: template: stat "},
		"large template":        {func(_ *Deploy, p *Program) { p.Template = large }, "roles.router: template " + large + " has 65536 bytes; it must be under 65536"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := validDeploy()
			c.change(d, &d.Programs[0])
			if c.fault == "" {
				g.Expect(d.faults()).To(BeEmpty())
				return
			}
			g.Expect(d.faults()).To(ConsistOf(HavePrefix(c.fault)))
		})
	}
}

func TestDeployAndSettingsShareNoPort(t *testing.T) {
	g := NewWithT(t)
	p := validDeploy().Programs[0]
	g.Expect(p.portFaults(&gateway.Options{Listen: "10.0.0.1:80", PeerListen: "10.0.0.1:7400"})).To(BeEmpty())
	g.Expect(p.portFaults(&gateway.Options{Listen: "10.0.0.1:80", PeerListen: "10.0.0.1:7401"})).To(
		ConsistOf("roles.router: the metrics and other routers have the same port 7401"))
}
