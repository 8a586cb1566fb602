package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/jujubeford/jujubeford/internal/loadgen/client"
	"github.com/jujubeford/jujubeford/internal/loadgen/scenario"
	"github.com/jujubeford/jujubeford/internal/loadgen/trace"
	"github.com/jujubeford/jujubeford/internal/reducer"
	"github.com/jujubeford/jujubeford/internal/standin/engine"
)

const (
	routerCount = 3
	engineCount = 2
	// tokenTime is the time per token of an engine, workTime the service time of a
	// plain request.
	tokenTime = "20ms"
	workTime  = "300ms"
	slots     = 16
	// maxWait bounds the time that a request waits for a slot.
	maxWait = 10 * time.Second
)

// fleet holds the processes of one test.
type fleet struct {
	t        *testing.T
	platform *process
	engines  []*process
	routers  []*process
	// entryAddrs and adminAddrs are the addresses of the routers for callers and
	// for their admin interfaces. controlAddrs and plainControlAddr are the control
	// ports of the engines and the plain service.
	entryAddrs, adminAddrs, controlAddrs []string
	plainControlAddr                     string
	client                               *client.Client
	trace                                *trace.Trace
}

// newFleet starts a platform, engines, a plain service and routers, and waits
// until every router is ready and knows the others and all upstreams.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		t: t, client: client.New(time.Now(), expectedTokens),
		trace: &trace.Trace{Organisations: scenario.Organisations(1, 0)},
	}
	t.Cleanup(f.client.Close)
	storeAddr := addresses(t, 1)[0]
	f.platform = startProcess(t, "platform", "standin", "platform", "-listen", storeAddr, "-list-lag", "200ms")
	await(t, "the platform accepts connections", func() bool {
		conn, err := net.Dial("tcp", storeAddr)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	f.submitConfig(storeAddr)
	for i := range engineCount {
		addrs := addresses(t, 2)
		f.controlAddrs = append(f.controlAddrs, addrs[1])
		f.engines = append(f.engines, startProcess(t, fmt.Sprintf("engine%d", i), "standin", "engine",
			"-name", fmt.Sprintf("e%d", i), "-service", scenario.ModelService, "-domain", domain(i),
			"-listen", addrs[0], "-control", addrs[1], "-platform", storeAddr,
			"-token-time", tokenTime, "-slots", fmt.Sprint(slots)))
	}
	addrs := addresses(t, 2)
	f.plainControlAddr = addrs[1]
	startProcess(t, "plain", "standin", "plain", "-name", "p0", "-service", scenario.PlainService, "-domain", domain(0),
		"-listen", addrs[0], "-control", f.plainControlAddr, "-platform", storeAddr, "-work", workTime)
	f.startRouters(storeAddr)
	return f
}

func domain(i int) string { return fmt.Sprintf("ga-east/%c", 'a'+i%2) }

// expectedTokens returns the tokens that an engine generates for a prompt.
func expectedTokens(prompt string, n int) []string {
	return engine.Tokens(engine.Prompt([]engine.Message{{Role: "user", Content: prompt}}), n)
}

// submitConfig submits the configuration of the test to the platform.
func (f *fleet) submitConfig(storeAddr string) {
	f.t.Helper()
	conf, err := scenario.Config(scenario.Sizes{
		Organisations: 1, ModelSlots: slots, PlainSlots: slots, MaxQueued: 1000, MaxWait: maxWait,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	text, err := conf.Print()
	if err != nil {
		f.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binDir, "jujubeford"), "config", "submit", "-store", storeAddr, "-")
	cmd.Stdin = bytes.NewReader(text)
	if out, err := cmd.CombinedOutput(); err != nil {
		f.t.Fatalf("submitting the configuration: %v\n%s", err, out)
	}
}

func (f *fleet) startRouters(storeAddr string) {
	f.t.Helper()
	addrs := addresses(f.t, 3*routerCount)
	key := filepath.Join(f.t.TempDir(), "cluster.key")
	if err := os.WriteFile(key, []byte("a key for tests only, of some length"), 0o600); err != nil {
		f.t.Fatal(err)
	}
	peers := addrs[0]
	for i := range routerCount {
		peer, entry, admin := addrs[3*i], addrs[3*i+1], addrs[3*i+2]
		f.entryAddrs, f.adminAddrs = append(f.entryAddrs, entry), append(f.adminAddrs, admin)
		name := fmt.Sprintf("r%d", i)
		f.routers = append(f.routers, startProcess(f.t, name, "jujubeford", "router", "-name", name, "-domain", domain(i),
			"-listen", entry, "-peer-listen", peer, "-admin-listen", admin,
			"-store", storeAddr, "-cluster-key", key, "-peers", peers))
	}
	for i := range routerCount {
		await(f.t, fmt.Sprintf("r%d is ready", i), func() bool {
			s, ok := f.status(i)
			return ok && s.Ready && f.aliveRouters(i) == routerCount && len(s.Upstreams) == engineCount+1
		})
	}
}

// status returns the status that router i reports, or false if it doesn't answer.
func (f *fleet) status(i int) (reducer.Status, bool) {
	var s reducer.Status
	ok := fetch("http://"+f.adminAddrs[i]+"/v1/status", func(r *http.Response) error {
		return json.NewDecoder(r.Body).Decode(&s)
	})
	return s, ok
}

// aliveRouters returns the number of routers that router i considers alive.
func (f *fleet) aliveRouters(i int) int {
	n := 0
	s, _ := f.status(i)
	for _, r := range s.Routers {
		if r.State == reducer.RouterAlive {
			n++
		}
	}
	return n
}

// generatedTokens returns the number of tokens that engine i has generated, 0 if
// it doesn't answer.
func (f *fleet) generatedTokens(i int) uint64 {
	var s engine.Stats
	fetch("http://"+f.controlAddrs[i]+"/stats", func(r *http.Response) error {
		return json.NewDecoder(r.Body).Decode(&s)
	})
	return s.Tokens
}

// sendModel sends a streamed request for this number of tokens through router i.
func (f *fleet) sendModel(i int, name string, tokens int) <-chan client.Result {
	return f.send(i, trace.Request{Name: name, Prompt: "tell " + name, Tokens: tokens})
}

// sendOnce sends a non-idempotent request with an idempotency key through router
// i.
func (f *fleet) sendOnce(i int, key string) <-chan client.Result {
	return f.send(i, trace.Request{Name: "book " + key, Key: key})
}

// send sends a request through router i in the background and returns a channel
// that receives its result.
func (f *fleet) send(i int, r trace.Request) <-chan client.Result {
	out := make(chan client.Result, 1)
	r.Router = i
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
		defer cancel()
		out <- f.client.Do(ctx, f.entryAddrs[i], f.trace, r)
	}()
	return out
}

// collect waits for the results of pending requests.
func collect(pending []<-chan client.Result) []client.Result {
	out := make([]client.Result, len(pending))
	for i, c := range pending {
		out[i] = <-c
	}
	return out
}

// runCounts returns the number of runs of each key, as the plain service counts
// them.
func (f *fleet) runCounts() map[string]int {
	f.t.Helper()
	var runs map[string]int
	await(f.t, "the plain service answers on its control port", func() bool {
		return fetch("http://"+f.plainControlAddr+"/runs", func(r *http.Response) error {
			return json.NewDecoder(r.Body).Decode(&runs)
		})
	})
	return runs
}

// checkAtMostOnce checks that no key ran more than once.
func (f *fleet) checkAtMostOnce() {
	f.t.Helper()
	for key, n := range f.runCounts() {
		if n > 1 {
			f.t.Errorf("%s ran %d times", key, n)
		}
	}
}
