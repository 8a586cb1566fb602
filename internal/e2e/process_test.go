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

// binDir is the directory with the programs, which TestMain builds.
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
	// done is closed when the process has ended; err is then the result of Wait.
	done chan struct{}
	err  error
}

// startProcess starts a program of binDir and kills it at the end of the test. If
// the test failed, the end of the program's output is logged.
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

// logShown bounds the output of a process that is logged, in bytes.
const logShown = 4000

func tail(text []byte) []byte { return text[max(0, len(text)-logShown):] }

// signal sends a signal to the process unless it has ended.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	select {
	case <-p.done:
	default:
		if err := p.cmd.Process.Signal(s); err != nil {
			t.Logf("sending signal %v to %s: %v", s, p.name, err)
		}
	}
}

const (
	// awaitTimeout bounds a wait, generously; pollInterval is the time between two
	// polls.
	awaitTimeout = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// await polls until done returns true and fails the test after awaitTimeout. The
// text what describes the awaited state.
func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); !done(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %s waiting until %s", awaitTimeout, what)
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

// fetch sends a GET request and passes the response to read. It returns false if
// the request or read fails or the status is not 200.
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
