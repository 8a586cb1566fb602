package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/configcheck"
	"github.com/jujubeford/jujubeford/internal/gateway"
	"github.com/jujubeford/jujubeford/internal/routing"
	"github.com/jujubeford/jujubeford/store"
)

// fakeDocument is a configuration whose text is "VERSION", "unused" for one with a warning, or
// "broken".
type fakeDocument routing.Config

func (d *fakeDocument) Config() *routing.Config       { return (*routing.Config)(d) }
func (d *fakeDocument) Warnings() []configcheck.Fault { return nil }
func (d *fakeDocument) Locate(findings []configcheck.Finding) (list []configcheck.Fault) {
	for _, f := range findings {
		list = append(list, configcheck.Fault{Path: "p", Line: 2, Column: 3, Message: f.Message})
	}
	return list
}

func parseFake(text []byte) (configcheck.Document, []configcheck.Fault) {
	d := &fakeDocument{Version: 7}
	switch {
	case strings.HasPrefix(string(text), "broken"):
		return &fakeDocument{}, []configcheck.Fault{{Line: 1, Column: 1, Message: "not JSON"}}
	case strings.HasPrefix(string(text), "unused"):
		d.Services = []routing.Service{{Name: "idle"}}
	case strings.HasPrefix(string(text), "older"):
		d.Version = 6
	case strings.HasPrefix(string(text), "bodies"):
		d.Limits.BodyBytes = 1 << 20
	}
	return d, nil
}

func TestCheckConfig(t *testing.T) {
	dir := t.TempDir()
	file := func(text string) string {
		name := filepath.Join(dir, text[:min(5, len(text))])
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return name
	}
	for _, c := range []struct {
		name   string
		args   []string
		in     io.Reader
		status subcommands.ExitStatus
		want   string
	}{
		{"sound", nil, strings.NewReader("sound"), 0, "version 7, 5 bytes, 0 errors, 0 warnings\n"},
		{"a file", []string{file("sound")}, nil, 0, "0 errors"},
		{"warning", nil, strings.NewReader("unused"), 0, `standard input:2:3: warning: p: no route leads to service "idle"`},
		{"strict", []string{"-strict"}, strings.NewReader("unused"), 1, "1 warnings"},
		{"broken", nil, strings.NewReader("broken"), 1, "standard input:1:1: error: not JSON"},
		{"broken, nothing to compare", []string{"-against", file("sound")}, strings.NewReader("broken"), 1, "error: not JSON\nversion 0"},
		{"older", []string{"-against", file("sound")}, strings.NewReader("older"), 1, "routers keep the version in force, 7"},
		{"store", []string{"-against", "127.0.0.1:80"}, strings.NewReader("sound"), 0, "0 differences from version 6"},
		{"store away", []string{"-against", "127.0.0.1:81"}, strings.NewReader("sound"), 2, "version in force: away"},
		{"broken in force", []string{"-against", file("broken")}, strings.NewReader("sound"), 2, "version in force: not JSON"},
		{"memory", []string{"-settings", "small"}, strings.NewReader("bodies"), 0, "a router holds 196608 bytes of large bodies together"},
		{"no settings", []string{"-settings", "none"}, strings.NewReader("sound"), 2, "no such settings"},
		{"no file", []string{dir + "/none"}, nil, 2, "no such file"},
		{"a directory", []string{dir}, nil, 2, "is a directory"},
		{"two files", []string{"a", "b"}, nil, 2, "got 2 files"},
		{"beyond the store's bound", nil, strings.NewReader(strings.Repeat("x", store.MaxValue+1)), 1, "1048577 bytes cannot be sent"},
		{"100 MB", nil, io.LimitReader(endless{}, 100<<20), 2, "are not a configuration"},
		{"unreadable", nil, io.MultiReader(strings.NewReader("so"), failing{}), 2, "cut"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var out, errOut bytes.Buffer
			command := &checkConfigCommand{
				console: &console{in: c.in, out: &out, err: &errOut, env: func(string) string { return "" }},
				configs: PlatformConfigs{Parse: parseFake, Fetch: func(_ context.Context, addr string) ([]byte, error) {
					if addr != "127.0.0.1:80" {
						return nil, errors.New("away")
					}
					return []byte("older"), nil
				}},
				loadSettings: func(path string) (*gateway.Options, error) {
					if path != "small" {
						return nil, errors.New("no such settings")
					}
					return &gateway.Options{Memory: 1 << 20}, nil
				},
			}
			run := func(args []string) subcommands.ExitStatus {
				fs := flag.NewFlagSet("check-config", flag.ContinueOnError)
				command.SetFlags(fs)
				g.Expect(fs.Parse(args)).To(Succeed())
				return command.Execute(t.Context(), fs)
			}
			g.Expect(run(c.args)).To(Equal(c.status))
			g.Expect(out.String() + errOut.String()).To(ContainSubstring(c.want))
			if s, ok := c.in.(io.Seeker); ok && c.status != 2 {
				_, err := s.Seek(0, io.SeekStart)
				g.Expect(err).NotTo(HaveOccurred())
				out.Reset()
				g.Expect(run(append([]string{"-json"}, c.args...))).To(Equal(c.status))
				var report configReport
				g.Expect(json.Unmarshal(out.Bytes(), &report)).To(Succeed())
				g.Expect(report.Errors > 0 || report.Warnings > 0).To(Equal(len(report.Findings) > 0))
			}
		})
	}
}

// endless reads as spaces without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = ' '
	}
	return len(p), nil
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("cut") }
