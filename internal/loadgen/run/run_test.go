package run

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/loadgen/client"
	"github.com/jujubeford/jujubeford/internal/loadgen/fleet"
	"github.com/jujubeford/jujubeford/internal/loadgen/scenario"
	"github.com/jujubeford/jujubeford/internal/loadgen/trace"
)

// stubServer acts as a router, its admin port and an upstream's control port, all at
// one address.
type stubServer struct {
	mu           sync.Mutex
	runs         map[string]int
	faults       []string
	metricsReads int
}

func (s *stubServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	switch r.URL.Path {
	case "/v1/chat/completions":
		s.runs[r.Header.Get("X-Request-Id")]++
		var request struct {
			MaxTokens int `json:"max_tokens"`
		}
		_ = json.Unmarshal(body, &request)
		for range request.MaxTokens {
			fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\" word\"}}]}\n\n")
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
	case scenario.AtMostOncePath:
		s.runs[r.Header.Get("Idempotency-Key")]++
		fmt.Fprintf(w, `{"body":%q}`, body)
	case "/metrics":
		s.metricsReads++
		fmt.Fprintf(w, "# TYPE %s counter\n%s{direction=\"in\"} %d\n%s{direction=\"out\"} 5\n",
			metricPeerBytes, metricPeerBytes, 1000*s.metricsReads, metricPeerBytes)
	case "/runs":
		_ = json.NewEncoder(w).Encode(s.runs)
	case "/faults":
		s.faults = append(s.faults, r.URL.Query().Get("name")+string(body))
	}
}

const scenarioText = `
name: test
seed: 3
organisations: 2
large: 1
kinds:
  - {name: short, service: assistant, load: 0.5, min_tokens: 1, max_tokens: 3}
  - {name: charge, service: booking, rate: 100, once: true, again: 0.5}
phases: [{name: only, duration: 200ms}]
events:
  - {at: 0s, action: slow, targets: [0], factor: 5, for: 4s}
  - {at: 1ms, action: kill, targets: [0]}
  - {at: 1ms, action: partition}
drain: 30s
`

func TestDoSendsEachRequestAndReadsTheFleet(t *testing.T) {
	g := NewWithT(t)
	s := &stubServer{runs: make(map[string]int)}
	server := httptest.NewServer(s)
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	f := &fleet.Fleet{
		Routers:   []fleet.Router{{Name: "r1", Addr: addr, Admin: addr}},
		Engines:   []fleet.Upstream{{Name: "e1", Control: addr}},
		Plain:     []fleet.Upstream{{Name: "p1", Control: addr}},
		Slots:     4,
		TokenTime: time.Millisecond,
	}
	g.Expect(f.Check()).To(Succeed())
	parsed, err := scenario.Parse([]byte(scenarioText))
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("seed %d", parsed.Seed)
	tr, err := trace.New(parsed, trace.Params{Routers: 1, TokenRate: f.TokenRate(), Salt: "s"})
	g.Expect(err).NotTo(HaveOccurred())

	r := Do(context.Background(), f, tr, nil)

	g.Expect(r.Results).To(HaveLen(len(tr.Requests)))
	sent := make(map[string]int)
	for i, result := range r.Results {
		g.Expect(result.ID).To(Equal(i))
		g.Expect(result.End).To(Equal(client.Complete), result.Error)
		sent[result.Name]++
	}
	g.Expect(r.UpstreamRuns.Plain).To(Equal(sent))
	g.Expect(s.faults).To(ConsistOf(`e1{"slow_factor":5,"slow_for_ms":4000}`))
	g.Expect(r.RouterUsages).To(HaveLen(1))
	g.Expect(r.RouterUsages[0].ControlBytes).To(BeNumerically(">", 0))
	g.Expect(r.Notes).To(ConsistOf(
		ContainSubstring("no file with a process id"),
		ContainSubstring("no relays"),
	))
}

func TestDoRecordsUnsentRequests(t *testing.T) {
	g := NewWithT(t)
	parsed, err := scenario.Parse([]byte(scenarioText))
	g.Expect(err).NotTo(HaveOccurred())
	parsed.Events = nil
	tr, err := trace.New(parsed, trace.Params{Routers: 1, TokenRate: 4000, Salt: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := Do(ctx, &fleet.Fleet{Routers: []fleet.Router{{Addr: "127.0.0.1:1"}}}, tr, nil)
	for _, result := range r.Results {
		g.Expect(result.End).To(Equal(client.Unanswered))
	}
	g.Expect(r.UpstreamRuns.Plain).To(BeNil(), "the runs are unknown because the fleet has no upstreams")
}

func TestUsageOfAReplacedRouterCountsFromItsStart(t *testing.T) {
	g := NewWithT(t)
	before := []*metricsSample{{peerBytes: 1000, cpu: 5, start: 1}, {peerBytes: 1000, cpu: 5, start: 1}, nil}
	after := []*metricsSample{{peerBytes: 3000, cpu: 6, start: 1, memory: 7}, {peerBytes: 500, cpu: 1, start: 2}, nil}
	u := usageBetween(before, after, 10*time.Second)
	g.Expect(*u[0]).To(Equal(Usage{ControlBytes: 200, CPU: 10, Memory: 7}))
	g.Expect(*u[1]).To(Equal(Usage{ControlBytes: 50, CPU: 10}))
	g.Expect(u[2]).To(BeNil())
}
