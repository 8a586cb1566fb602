package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/standin/netfault"
)

// silenceTimeout is how long a test waits for an answer that a fault withholds.
const silenceTimeout = 200 * time.Millisecond

func startServer(t *testing.T) (*Server, string) {
	t.Helper()
	listener, err := netfault.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{Name: "p"}, listener)
	web := &http.Server{Handler: s.Handler()}
	go func() { _ = web.Serve(listener) }()
	t.Cleanup(func() { _ = web.Close() })
	return s, "http://" + listener.Addr().String()
}

// post sends a request with the key "k" and reads the complete answer. The status
// is 0 if there was none.
func post(t *testing.T, url string, timeout time.Duration) (int, http.Header, []byte) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url+"/pay/1", strings.NewReader("ten"))
	if err != nil {
		t.Fatal(err)
	}
	// With an Idempotency-Key, net/http would be free to retry the request itself.
	request.Header.Set(headerRequest, "k")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: timeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, nil
	}
	return response.StatusCode, response.Header, body
}

func TestEchoCountsRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	s, url := startServer(t)
	for run := 1; run <= 2; run++ {
		status, _, body := post(t, url, 0)
		g.Expect(status).To(gomega.Equal(http.StatusOK))
		var echo Echo
		g.Expect(json.Unmarshal(body, &echo)).To(gomega.Succeed())
		g.Expect(echo).To(gomega.Equal(Echo{
			Name: "p", Key: "k", Run: run, Method: http.MethodPost, Path: "/pay/1", Body: "ten",
		}))
	}
	g.Expect(s.Runs()).To(gomega.Equal(map[string]int{"k": 2}))
}

// TestFaults checks for each fault whether the request ran and how it was
// answered, and that the server works again without the fault. Status 0 stands
// for no complete answer.
func TestFaults(t *testing.T) {
	cases := []struct {
		name    string
		faults  Faults
		leaving bool
		timeout time.Duration
		runs    int
		status  int
		outcome string
	}{
		{"cut before", Faults{CutBefore: 1}, false, 0, 0, 0, ""},
		{"cut after", Faults{CutAfter: 1}, false, 0, 1, 0, ""},
		{"cut mid-answer", Faults{CutMid: 1}, false, 0, 1, 0, ""},
		{"silent before", Faults{SilentBefore: 1}, false, silenceTimeout, 0, 0, ""},
		{"silent after", Faults{SilentAfter: 1}, false, silenceTimeout, 1, 0, ""},
		{"not run", Faults{NotRun: 1}, false, 0, 0, 503, "not-run"},
		{"failed", Faults{Fail: 1}, false, 0, 1, 500, ""},
		{"leaving", Faults{}, true, 0, 0, 503, "not-run"},
		{"refused", Faults{Refuse: true}, false, 0, 0, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s, url := startServer(t)
			g.Expect(s.SetFaults(c.faults)).To(gomega.Succeed())
			s.SetLeaving(c.leaving)
			status, header, _ := post(t, url, c.timeout)
			g.Expect(status).To(gomega.Equal(c.status))
			g.Expect(header.Get(headerOutcome)).To(gomega.Equal(c.outcome))
			g.Expect(header.Get(headerLeaving) == "true").To(gomega.Equal(c.leaving))
			g.Expect(s.Runs()["k"]).To(gomega.Equal(c.runs))
			g.Expect(s.SetFaults(Faults{})).To(gomega.Succeed())
			s.SetLeaving(false)
			status, _, _ = post(t, url, 0)
			g.Expect(status).To(gomega.Equal(http.StatusOK))
		})
	}
}
