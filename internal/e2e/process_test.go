package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/jujubeford/jujubeford/internal/porttest"
)

// binDir is where the programs are built for the tests.
var binDir string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir, "../../cmd/jujubeford", "../../cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

// process is a program that a test started.
type process struct {
	name string
	cmd  *exec.Cmd
	// done is closed when it has ended; err is then how.
	done chan struct{}
	err  error
}

// startProcess runs a program of bin until the test ends. Its log is shown when the
// test fails.
func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	log := filepath.Join(t.TempDir(), name+".log")
	file, err := os.Create(log)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{name: name, cmd: exec.Command(filepath.Join(binDir, program), args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = file, file
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		file.Close()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(t, syscall.SIGKILL)
		<-p.done
		if text, err := os.ReadFile(log); err == nil && t.Failed() {
			t.Logf("log of %s:\n%s", name, tail(text))
		}
	})
	return p
}

// logShown is how much of a log is shown, in bytes.
const logShown = 4000

func tail(text []byte) []byte { return text[max(0, len(text)-logShown):] }

// signal sends a signal, unless the process has ended.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	select {
	case <-p.done:
	default:
		if err := p.cmd.Process.Signal(s); err != nil {
			t.Logf("signal %v to %s: %v", s, p.name, err)
		}
	}
}

const (
	// awaitTimeout is the generous limit of a wait, pollEvery the time between looks.
	awaitTimeout = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// await polls until ok.
func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); !done(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("waited %s in vain: %s", awaitTimeout, what)
		}
	}
}

// addresses returns n free addresses on loopback.
func addresses(t *testing.T, n int) []string {
	t.Helper()
	out := make([]string, n)
	for i := range out {
		out[i] = porttest.Address(t)
	}
	return out
}

// fetch reads a page; false if that fails or its status is no success.
func fetch(url string, read func(*http.Response) error) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK && read(res) == nil
}
