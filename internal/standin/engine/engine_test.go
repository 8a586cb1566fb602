package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/standin/netfault"
)

const (
	eventuallyTimeout = 20 * time.Second
	pollInterval      = 2 * time.Millisecond
	// endless is the length of an answer that does not end during a test.
	endless = 1 << 20
)

var testOptions = Options{
	Name:        "e",
	Slots:       4,
	TokenTime:   time.Millisecond,
	LoadFactor:  0.5,
	CacheBlocks: 8,
	StreamGrace: 10 * time.Second,
}

type fixture struct {
	t      *testing.T
	g      *gomega.WithT
	engine *Engine
	url    string
}

func start(t *testing.T, options Options) fixture {
	t.Helper()
	listener, err := netfault.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := New(options, listener)
	web := &http.Server{Handler: e.Handler()}
	go func() { _ = web.Serve(listener) }()
	t.Cleanup(func() { _ = web.Close() })
	return fixture{t, gomega.NewWithT(t), e, "http://" + listener.Addr().String()}
}

func (f fixture) setFaults(faults Faults) {
	f.t.Helper()
	f.g.Expect(f.engine.SetFaults(faults)).To(gomega.Succeed())
}

// send sends a request on a new connection. header lists names and values in
// turn.
func (f fixture) send(method, path, body string, header ...string) (*http.Response, error) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	f.t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, method, f.url+path, strings.NewReader(body))
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	return transport.RoundTrip(request)
}

func (f fixture) chat(body string, header ...string) *http.Response {
	f.t.Helper()
	response, err := f.send(http.MethodPost, "/v1/chat/completions", body, header...)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	return response
}

func chatBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		stream, tokens, prompt)
}

func promptOf(content string) string { return Prompt([]Message{{Role: "user", Content: content}}) }

// received is the part of a stream that was read.
type received struct {
	text        string
	lastEventID string
	events      int
	usage       usage
	done        bool
}

// readStream reads up to limit events; it stops early at the [DONE] event or the
// end of the connection.
func readStream(response *http.Response, limit int) received {
	var got received
	lines := bufio.NewScanner(response.Body)
	for got.events < limit && !got.done && lines.Scan() {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			got.lastEventID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		got.done = data == "[DONE]"
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
			Usage   usage
		}
		if got.done || json.Unmarshal([]byte(data), &chunk) != nil {
			continue
		}
		got.events++
		got.text += chunk.Choices[0].Delta.Content
		got.usage = chunk.Usage
	}
	return got
}

func TestTokensFollowFromPrompt(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(Tokens("a", 5)).To(gomega.Equal(Tokens("a", 9)[:5]))
	g.Expect(Tokens("a", 5)).NotTo(gomega.Equal(Tokens("b", 5)))
	g.Expect(Text("a", 3)).To(gomega.Equal(strings.Join(Tokens("a", 3), " ")))
}

func TestWholeAnswer(t *testing.T) {
	f := start(t, testOptions)
	response := f.chat(chatBody("hello", 7, false))
	var body completion
	f.g.Expect(json.NewDecoder(response.Body).Decode(&body)).To(gomega.Succeed())
	f.g.Expect(body.Choices[0].Message.Content).To(gomega.Equal(Text(promptOf("hello"), 7)))
	f.g.Expect(body.Usage.CompletionTokens).To(gomega.Equal(7))
}

func TestStreamHasIDsUsageAndEnd(t *testing.T) {
	f := start(t, testOptions)
	response := f.chat(chatBody("hello", 7, true), "X-Request-Id", "r9", "X-Attempt", "2")
	f.g.Expect(response.Header.Get(HeaderStream)).To(gomega.Equal("r9.2"))
	got := readStream(response, endless)
	f.g.Expect(got.done).To(gomega.BeTrue())
	f.g.Expect(got.text).To(gomega.Equal(Text(promptOf("hello"), 7)))
	f.g.Expect(got.lastEventID).To(gomega.Equal("r9.2/7"))
	f.g.Expect(got.usage.CompletionTokens).To(gomega.Equal(7))
}

// TestResume interrupts a stream in each way, resumes it after the last event
// received, and checks that both parts together are the complete answer.
func TestResume(t *testing.T) {
	const length, before = 40, 5
	cases := []struct {
		name   string
		faults Faults
		// ends means that the fault closes the first connection.
		ends bool
	}{
		{"cut", Faults{Cut: StreamFault{Count: 1, AfterTokens: before}}, true},
		{"stalled", Faults{Stall: StreamFault{Count: 1, AfterTokens: before}}, false},
		{"left by its caller", Faults{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := start(t, testOptions)
			f.setFaults(c.faults)
			response := f.chat(chatBody("hello", length, true), "X-Request-Id", "r")
			limit := before
			if c.ends {
				limit = endless
			}
			first := readStream(response, limit)
			f.g.Expect(first.done).To(gomega.BeFalse())
			f.g.Expect(first.events).To(gomega.Equal(before))
			// Wait until the fault is used up, so that it can't affect the resumed
			// connection.
			f.g.Eventually(func() int {
				remaining := f.engine.batch.getFaults()
				return remaining.Cut.Count + remaining.Stall.Count
			}, eventuallyTimeout, pollInterval).Should(gomega.BeZero())
			_ = response.Body.Close()
			second := readStream(f.chat(chatBody("hello", length, true), "Last-Event-ID", first.lastEventID), endless)
			f.g.Expect(second.done).To(gomega.BeTrue())
			f.g.Expect(first.text + second.text).To(gomega.Equal(Text(promptOf("hello"), length)))
			f.g.Expect(f.engine.Stats().Started).To(gomega.BeEquivalentTo(1))
		})
	}
}

func TestStalledStreamLeavesOthersAlone(t *testing.T) {
	f := start(t, testOptions)
	f.setFaults(Faults{Stall: StreamFault{Count: 1}})
	f.chat(chatBody("stalled", endless, true))
	f.g.Eventually(func() int { return f.engine.batch.getFaults().Stall.Count }, eventuallyTimeout, pollInterval).
		Should(gomega.BeZero())
	got := readStream(f.chat(chatBody("other", 5, true)), endless)
	f.g.Expect(got.text).To(gomega.Equal(Text(promptOf("other"), 5)))
}

func TestCancel(t *testing.T) {
	f := start(t, testOptions)
	response := f.chat(chatBody("hello", endless, true), "X-Request-Id", "r")
	deleted, err := f.send(http.MethodDelete, "/v1/streams/r.1", "")
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.g.Expect(deleted.StatusCode).To(gomega.Equal(http.StatusNoContent))
	f.g.Expect(readStream(response, endless).done).To(gomega.BeFalse())
	stats := f.engine.Stats()
	f.g.Expect(stats.Running).To(gomega.BeZero())
	f.g.Expect(stats.Cancelled).To(gomega.BeEquivalentTo(1))
}

func TestClosedConnectionCancelsAfterGrace(t *testing.T) {
	options := testOptions
	options.StreamGrace = time.Millisecond
	f := start(t, options)
	response := f.chat(chatBody("hello", endless, true))
	readStream(response, 1)
	_ = response.Body.Close()
	f.g.Eventually(func() uint64 { return f.engine.Stats().Cancelled }, eventuallyTimeout, pollInterval).
		Should(gomega.BeEquivalentTo(1))
}

func TestRefusals(t *testing.T) {
	good := chatBody("hello", 3, true)
	cases := []struct {
		name    string
		faults  Faults
		leaving bool
		body    string
		header  []string
		status  int
		outcome string
	}{
		{"leaving", Faults{}, true, good, nil, 503, "not-run"},
		{"not run", Faults{NotRun: 1}, false, good, nil, 503, "not-run"},
		{"failing", Faults{Fail: true}, false, good, nil, 500, ""},
		{"no JSON", Faults{}, false, "{", nil, 400, ""},
		{"no messages", Faults{}, false, "{}", nil, 400, ""},
		{"no tokens", Faults{}, false, chatBody("hello", 0, true), nil, 400, ""},
		{"resume of nothing", Faults{}, false, good, []string{"Last-Event-ID", "x/1"}, 404, ""},
		{"resume without an offset", Faults{}, false, good, []string{"Last-Event-ID", "x"}, 400, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := start(t, testOptions)
			f.setFaults(c.faults)
			f.engine.SetLeaving(c.leaving)
			response := f.chat(c.body, c.header...)
			f.g.Expect(response.StatusCode).To(gomega.Equal(c.status))
			f.g.Expect(response.Header.Get(headerOutcome)).To(gomega.Equal(c.outcome))
			f.g.Expect(response.Header.Get(headerLeaving) == "true").To(gomega.Equal(c.leaving))
			f.g.Expect(f.engine.Stats().Started).To(gomega.BeZero())
		})
	}
}

func TestLeavingFinishesRunningStreams(t *testing.T) {
	f := start(t, testOptions)
	response := f.chat(chatBody("hello", 50, true))
	f.engine.SetLeaving(true)
	f.g.Expect(readStream(response, endless).done).To(gomega.BeTrue())
}

func TestPoisonCrashesAndForgets(t *testing.T) {
	options := testOptions
	options.RestartAfter = time.Millisecond
	f := start(t, options)
	f.setFaults(Faults{Poison: "doom"})
	other := f.chat(chatBody("other", endless, true), "X-Request-Id", "r")
	_, err := f.send(http.MethodPost, "/v1/chat/completions", chatBody("doom", 3, true))
	f.g.Expect(err).To(gomega.HaveOccurred())
	f.g.Expect(readStream(other, endless).done).To(gomega.BeFalse())
	f.g.Eventually(func() error {
		response, err := f.send(http.MethodGet, "/health", "")
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	}, eventuallyTimeout, pollInterval).Should(gomega.Succeed())
	resumed := f.chat(chatBody("other", endless, true), "Last-Event-ID", "r.1/0")
	f.g.Expect(resumed.StatusCode).To(gomega.Equal(http.StatusNotFound))
	f.g.Expect(f.engine.Stats().Crashes).To(gomega.BeEquivalentTo(1))
}

func TestFencing(t *testing.T) {
	cases := []struct {
		name    string
		check   bool
		status  []int
		applied string
	}{
		{"checked", true, []int{200, 200, 409, 200}, `[{a 5 x} {a 7 x} {a 7 x}]`},
		{"ignored", false, []int{200, 200, 200, 200}, `[{a 5 x} {a 7 x} {a 6 x} {a 7 x}]`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			options := testOptions
			options.CheckFencing = c.check
			f := start(t, options)
			for i, number := range []string{"5", "7", "6", "7"} {
				response, err := f.send(http.MethodPut, "/v1/orders/a", "x", HeaderFencing, number)
				f.g.Expect(err).NotTo(gomega.HaveOccurred())
				f.g.Expect(response.StatusCode).To(gomega.Equal(c.status[i]))
			}
			f.g.Expect(fmt.Sprint(f.engine.orders.applied)).To(gomega.Equal(c.applied))
		})
	}
}
