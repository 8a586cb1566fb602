package cli

import (
	"bytes"
	"context"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/store"
)

// fakeStore is a key-value service in memory that can be made to fail.
type fakeStore struct {
	store.Store
	entries map[string]store.Entry
	index   uint64
	// getErr is returned by all reads if set, casErr by writes of the head.
	getErr, casErr error
}

func (f *fakeStore) Get(_ context.Context, key string) (store.Entry, error) {
	entry, ok := f.entries[key]
	if f.getErr != nil {
		return store.Entry{}, f.getErr
	}
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return entry, nil
}

func (f *fakeStore) List(_ context.Context, prefix string) ([]store.Entry, error) {
	var out []store.Entry
	for key, entry := range f.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, entry)
		}
	}
	return out, f.getErr
}

func (f *fakeStore) CAS(_ context.Context, key string, value []byte, index uint64) (bool, error) {
	if f.casErr != nil && strings.HasSuffix(key, "/head") {
		return false, f.casErr
	}
	if f.entries[key].Index != index {
		return false, nil
	}
	f.index++
	f.entries[key] = store.Entry{Key: key, Value: value, Index: f.index}
	return true, nil
}

func (f *fakeStore) Delete(_ context.Context, key string, _ uint64) (bool, error) {
	delete(f.entries, key)
	return true, nil
}

// testConsole runs the command "config" against a fake store, with in-memory streams
// and environment.
type testConsole struct {
	*WithT
	store    *fakeStore
	in       string
	out, err bytes.Buffer
	env      map[string]string
	dir      string
}

func newTestConsole(t *testing.T) *testConsole {
	return &testConsole{
		WithT: NewWithT(t),
		store: &fakeStore{entries: map[string]store.Entry{}},
		env:   map[string]string{},
		dir:   t.TempDir(),
	}
}

// run runs "config" with the arguments and checks its exit status.
func (s *testConsole) run(want subcommands.ExitStatus, args ...string) {
	s.out.Reset()
	s.err.Reset()
	command := &configCommand{&console{
		in: strings.NewReader(s.in), out: &s.out, err: &s.err,
		env:  func(name string) string { return s.env[name] },
		open: func(string) store.Store { return s.store },
	}}
	fs := flag.NewFlagSet("config", flag.ContinueOnError)
	s.Expect(fs.Parse(args)).To(Succeed())
	s.Expect(command.Execute(context.Background(), fs)).To(Equal(want), s.out.String()+s.err.String())
}

// writeConfig writes the file of a configuration whose only organisation has the
// given share, and returns the file's path.
func (s *testConsole) writeConfig(share string) string {
	cfg, err := config.New("fleet").
		Service(config.ModelService("assistant", "m")).
		Organisation(config.NewOrganisation("atlanta", 7).WithKey("example-key-atlanta").Reaching("assistant")).
		Build()
	s.Expect(err).NotTo(HaveOccurred())
	text, err := cfg.Print()
	s.Expect(err).NotTo(HaveOccurred())
	_, body, _ := strings.Cut(string(text), "\nfleet:")
	name := filepath.Join(s.dir, "share-"+share+".yaml")
	changed := "fleet:" + strings.Replace(body, "share: 7", "share: "+share, 1)
	s.Expect(os.WriteFile(name, []byte(changed), 0o600)).To(Succeed())
	return name
}

func TestPrintTwiceGivesTheSameBytes(t *testing.T) {
	s := newTestConsole(t)
	s.run(subcommands.ExitSuccess, "print", s.writeConfig("7"))
	first := s.out.String()
	s.in = first
	s.run(subcommands.ExitSuccess, "print")
	s.Expect(s.out.String()).To(Equal(first))
	s.Expect(first).To(ContainSubstring("# digest: sha256:"))
}

func TestCheckReportsEveryFault(t *testing.T) {
	s := newTestConsole(t)
	s.run(subcommands.ExitSuccess, "check", s.writeConfig("7"))
	s.Expect(s.out.String()).To(HavePrefix("no fault: fleet fleet, services 1, organisations 1, digest sha256:"))
	s.in = "fleet: Fleet\nservices: []\norganisations:\n  - name: a\n    share: 0\n    keys: []\n    services: [b]\n    max_queued: 1\n"
	s.run(exitUsage, "check", "-")
	s.Expect(strings.Split(strings.TrimSpace(s.err.String()), "\n")).To(Equal([]string{
		`standard input: line 1, fleet: "Fleet" is not made of lower-case letters, digits and inner hyphens`,
		`standard input: line 5, organisations[0].share: 0 is not between 1 and 10000`,
		`standard input: line 6, organisations[0].keys: 0 is not between 1 and 16`,
		`standard input: line 7, organisations[0].services[0]: there is no service "b"`,
	}))
	s.run(exitUsage, "check", filepath.Join(s.dir, "none.yaml"))
	s.run(exitUsage, "check", "a", "b")
}

func TestSubmitDiffAndShow(t *testing.T) {
	s := newTestConsole(t)
	s.env["JUJUBEFORD_STORE"] = "127.0.0.1:8500"
	s.run(exitFailure, "show")
	s.run(subcommands.ExitSuccess, "submit", "-base", "0", "-submission", "first", s.writeConfig("7"))
	s.Expect(s.out.String()).To(MatchRegexp(`^accepted: generation 1, sha256:[0-9a-f]{64}, submission first\n$`))
	s.run(subcommands.ExitSuccess, "submit", s.writeConfig("7"))
	s.Expect(s.out.String()).To(HavePrefix("unchanged: generation 1"))

	s.run(exitFailure, "diff", s.writeConfig("8"))
	s.Expect(s.out.String()).To(Equal("organisation \"atlanta\": share changed from 7 to 8\n"))
	s.run(exitFailure, "diff", s.writeConfig("7"), s.writeConfig("8"))
	s.run(subcommands.ExitSuccess, "diff", s.writeConfig("7"))

	s.run(subcommands.ExitSuccess, "submit", "-operator", "ada", s.writeConfig("8"))
	s.Expect(s.out.String()).To(ContainSubstring("share changed from 7 to 8"))
	s.run(subcommands.ExitSuccess, "show")
	s.Expect(s.out.String()).To(ContainSubstring("share: 8"))
	s.Expect(s.err.String()).To(MatchRegexp(`^generation 2, submission ada-[0-9a-f]{16}\n$`))
}

func TestSubmitThatIsNotAccepted(t *testing.T) {
	s := newTestConsole(t)
	s.env["JUJUBEFORD_STORE"] = "127.0.0.1:8500"
	s.run(subcommands.ExitSuccess, "submit", "-base", "0", "-submission", "first", s.writeConfig("7"))

	s.run(exitUsage, "submit", s.writeConfig("0"))
	s.Expect(s.err.String()).To(ContainSubstring("organisations[0].share: 0 is not between 1 and 10000"))
	s.run(exitFailure, "submit", "-base", "0", s.writeConfig("8"))
	s.Expect(s.err.String()).To(ContainSubstring("generation 1 is in force, by submission first"))
	s.store.getErr = store.ErrUnavailable
	s.run(exitFailure, "submit", s.writeConfig("8"))
	s.Expect(s.err.String()).To(HavePrefix("not accepted: nothing was written"))
	again := []string{"submit", "-base", "1", "-submission", "second", s.writeConfig("8")}
	s.run(exitUnknown, again...)
	s.store.getErr = nil
	s.store.casErr = store.ErrUnknown
	s.run(exitUnknown, again...)
	s.Expect(s.err.String()).To(ContainSubstring("with -base 1 -submission second\n"))
	s.store.casErr = nil
	s.run(subcommands.ExitSuccess, "show")
	s.Expect(s.out.String()).To(ContainSubstring("share: 7"), "the old generation stays in force")
	s.run(subcommands.ExitSuccess, "submit", "-submission", "rival", "-base", "1", s.writeConfig("9"))
	s.run(exitFailure, again...)
	s.Expect(s.err.String()).To(ContainSubstring("generation 2 is in force, by submission rival"))

	s.run(subcommands.ExitSuccess, "show")
	s.Expect(s.out.String()).To(ContainSubstring("share: 9"), "the accepted generation stays in force")
}

func TestSubmitReportsAllFaultyFlags(t *testing.T) {
	s := newTestConsole(t)
	s.run(exitUsage, "submit", "-wait", "long", "-base", "x", "-admin", "localhost", s.writeConfig("7"))
	s.Expect(strings.Split(strings.TrimSpace(s.err.String()), "\n")).To(Equal([]string{
		`-store (JUJUBEFORD_STORE): is missing`,
		`-base (JUJUBEFORD_BASE): "x" is not a whole number`,
		`-admin (JUJUBEFORD_ADMIN): "localhost" is not an address of the form IP:port`,
		`-wait (JUJUBEFORD_WAIT): "long" is not a duration such as 1.6s`,
	}))
	s.run(exitUsage, "submit", "-store", "127.0.0.1:1", "-wait", "1s", s.writeConfig("7"))
	s.Expect(s.err.String()).To(Equal("-wait needs -admin\n"))
	s.run(exitUsage, "submit", "-store", "127.0.0.1:1", "-submission", "a", s.writeConfig("7"))
	s.Expect(s.err.String()).To(Equal("-submission needs -base\n"))
	s.run(exitUsage, "submit", "-store", "127.0.0.1:1")
	s.run(exitUsage, "unknown")
}

func TestSubmitReportsPropagation(t *testing.T) {
	s := newTestConsole(t)
	answer := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.Expect(r.URL.Path).To(Equal("/v1/status"))
		if answer == "" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		w.Write([]byte(answer))
	}))
	defer server.Close()
	submit := []string{"submit", "-store", "127.0.0.1:1", "-admin", strings.TrimPrefix(server.URL, "http://"), s.writeConfig("7")}

	s.run(exitPropagating, submit...)
	s.Expect(s.err.String()).To(ContainSubstring("accepted, but it is not known where"))
	answer = `{"routers":[{"id":"a.1","state":"alive","generation":1},{"id":"b.1","state":"suspect"},{"id":"c.1","state":"dead"}]}`
	s.run(subcommands.ExitSuccess, submit...)
	s.Expect(s.out.String()).To(ContainSubstring("generation 1 is in force at 1 of 2 routers, not yet at b.1\n"))
	answer = `{"routers":[{"id":"a.1","generation":2},{"id":"b.1","generation":1}],"more":1}`
	s.run(subcommands.ExitSuccess, append(submit[:len(submit)-1:len(submit)-1], "-wait", "12s", s.writeConfig("7"))...)
	s.Expect(s.out.String()).To(ContainSubstring("generation 1 is in force at 2 of 2 routers\n"))
}
