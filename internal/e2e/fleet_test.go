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
	// tokenTime is the time of a token of an engine, workTime that of a plain
	// request.
	tokenTime = "20ms"
	workTime  = "300ms"
	slots     = 16
	// maxWait is how long a request may wait for a slot.
	maxWait = 10 * time.Second
)

// fleet is the processes of one test.
type fleet struct {
	t        *testing.T
	platform *process
	engines  []*process
	routers  []*process
	// entries and admins are where routers take requests and questions, controls
	// and plain where engines and the plain service tell what they run.
	entries, admins, controls []string
	plain                     string
	client                    *client.Client
	trace                     *trace.Trace
}

// newFleet starts a platform, engines, a plain service and routers, and waits
// until every router knows the others and all upstreams.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		t: t, client: client.New(time.Now(), answer),
		trace: &trace.Trace{Tenants: scenario.Tenants(1, 0)},
	}
	t.Cleanup(f.client.Close)
	store := addresses(t, 1)[0]
	f.platform = start(t, "platform", "standin", "platform", "-listen", store, "-list-lag", "200ms")
	await(t, "the platform answers", func() bool {
		conn, err := net.Dial("tcp", store)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	f.submit(store)
	for i := range engineCount {
		a := addresses(t, 2)
		f.controls = append(f.controls, a[1])
		f.engines = append(f.engines, start(t, fmt.Sprintf("engine%d", i), "standin", "engine",
			"-name", fmt.Sprintf("e%d", i), "-service", scenario.ModelService, "-domain", domain(i),
			"-listen", a[0], "-control", a[1], "-platform", store, "-token-time", tokenTime, "-slots", fmt.Sprint(slots)))
	}
	a := addresses(t, 2)
	f.plain = a[1]
	start(t, "plain", "standin", "plain", "-name", "p0", "-service", scenario.PlainService, "-domain", domain(0),
		"-listen", a[0], "-control", f.plain, "-platform", store, "-work", workTime)
	f.startRouters(store)
	return f
}

func domain(i int) string { return fmt.Sprintf("ga-east/%c", 'a'+i%2) }

// answer is the words that an engine gives to a prompt.
func answer(prompt string, n int) []string {
	return engine.Tokens(engine.Prompt([]engine.Message{{Role: "user", Content: prompt}}), n)
}

func (f *fleet) submit(store string) {
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
	cmd := exec.Command(filepath.Join(bin, "jujubeford"), "config", "submit", "-store", store, "-")
	cmd.Stdin = bytes.NewReader(text)
	if out, err := cmd.CombinedOutput(); err != nil {
		f.t.Fatalf("submit: %v\n%s", err, out)
	}
}

func (f *fleet) startRouters(store string) {
	f.t.Helper()
	a := addresses(f.t, 3*routerCount)
	key := filepath.Join(f.t.TempDir(), "cluster.key")
	if err := os.WriteFile(key, []byte("a key for tests only, of some length"), 0o600); err != nil {
		f.t.Fatal(err)
	}
	peers := a[0]
	for i := range routerCount {
		peer, entry, admin := a[3*i], a[3*i+1], a[3*i+2]
		f.entries, f.admins = append(f.entries, entry), append(f.admins, admin)
		name := fmt.Sprintf("r%d", i)
		f.routers = append(f.routers, start(f.t, name, "jujubeford", "router", "-name", name, "-domain", domain(i),
			"-listen", entry, "-peer-listen", peer, "-admin-listen", admin,
			"-store", store, "-cluster-key", key, "-peers", peers))
	}
	for i := range routerCount {
		await(f.t, fmt.Sprintf("r%d is ready", i), func() bool {
			s, ok := f.status(i)
			return ok && s.Ready && f.alive(i) == routerCount && len(s.Upstreams) == engineCount+1
		})
	}
}

// status is what router i says of itself; false if it does not answer.
func (f *fleet) status(i int) (reducer.Status, bool) {
	var s reducer.Status
	ok := get("http://"+f.admins[i]+"/v1/status", func(r *http.Response) error {
		return json.NewDecoder(r.Body).Decode(&s)
	})
	return s, ok
}

// alive is how many routers are alive as router i sees it.
func (f *fleet) alive(i int) int {
	n := 0
	s, _ := f.status(i)
	for _, r := range s.Routers {
		if r.State == reducer.RouterAlive {
			n++
		}
	}
	return n
}

// tokens is how many tokens an engine has given; 0 if it does not answer.
func (f *fleet) tokens(i int) uint64 {
	var s engine.Stats
	get("http://"+f.controls[i]+"/stats", func(r *http.Response) error {
		return json.NewDecoder(r.Body).Decode(&s)
	})
	return s.Tokens
}

// model sends a streamed request of so many tokens through router i.
func (f *fleet) model(i int, name string, tokens int) <-chan client.Result {
	return f.do(i, trace.Request{Name: name, Prompt: "tell " + name, Tokens: tokens})
}

// once sends non-idempotent work under a key through router i.
func (f *fleet) once(i int, key string) <-chan client.Result {
	return f.do(i, trace.Request{Name: "book " + key, Key: key})
}

func (f *fleet) do(i int, r trace.Request) <-chan client.Result {
	out := make(chan client.Result, 1)
	r.Router = i
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		out <- f.client.Do(ctx, f.entries[i], f.trace, r)
	}()
	return out
}

// all takes the results of requests under way.
func all(under []<-chan client.Result) []client.Result {
	out := make([]client.Result, len(under))
	for i, c := range under {
		out[i] = <-c
	}
	return out
}

// runs is how often each key ran.
func (f *fleet) runs() map[string]int {
	f.t.Helper()
	var runs map[string]int
	await(f.t, "the plain service tells its runs", func() bool {
		return get("http://"+f.plain+"/runs", func(r *http.Response) error {
			return json.NewDecoder(r.Body).Decode(&runs)
		})
	})
	return runs
}

// ranAtMostOnce checks every key.
func (f *fleet) ranAtMostOnce() {
	f.t.Helper()
	for key, n := range f.runs() {
		if n > 1 {
			f.t.Errorf("%s ran %d times", key, n)
		}
	}
}
