package client

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/loadgen/scenario"
	"github.com/jujubeford/jujubeford/internal/loadgen/trace"
)

// answerWords returns the first n words of the test router's answer to a prompt.
func answerWords(prompt string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%d", strings.ReplaceAll(prompt, " ", "_"), i)
	}
	return out
}

func writeEvent(w http.ResponseWriter, word string) {
	fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", word+" ")
}

func TestDoClassifiesAnswers(t *testing.T) {
	const done = "data: [DONE]\n\n"
	request := trace.Request{Prompt: "org asks 1", Tokens: 3}
	stream := func(words []string, tail string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", headerOutcome)
			for _, word := range words {
				writeEvent(w, word)
			}
			fmt.Fprint(w, tail)
			w.Header().Set(headerOutcome, "complete")
		}
	}
	expected := answerWords(request.Prompt, 3)
	tests := []struct {
		name    string
		handler http.HandlerFunc
		end     End
		outcome string
	}{
		{"whole", stream(expected, done), Complete, "complete"},
		{"no done marker", stream(expected, ""), Truncated, "complete"},
		{"incomplete with done marker", stream(expected[:2], done), Truncated, "complete"},
		{"repeated token", stream(append(expected[:1:1], expected...), done), Mismatched, "complete"},
		{"another's answer", stream(answerWords("other", 3), done), Mismatched, "complete"},
		{"error event", stream(expected[:2], "data: {\"error\":{\"message\":\"upstream failed\"}}\n\n"), Failed, "complete"},
		{"refusal", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerOutcome, "not-run")
			w.Header().Set("Retry-After", "1")
			http.Error(w, "queue full", http.StatusServiceUnavailable)
		}, Refused, "not-run"},
		{"broken connection", func(w http.ResponseWriter, _ *http.Request) {
			writeEvent(w, expected[0])
			panic(http.ErrAbortHandler)
		}, Failed, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(test.handler)
			defer server.Close()
			c := New(time.Now(), answerWords)
			defer c.Close()
			tr := &trace.Trace{Organisations: scenario.Organisations(1, 0)}
			result := c.Do(context.Background(), strings.TrimPrefix(server.URL, "http://"), tr, request)
			g.Expect(result.End).To(Equal(test.end), result.Error)
			g.Expect(result.Outcome).To(Equal(test.outcome))
			g.Expect(result.RetryAfter).To(Equal(test.end == Refused))
		})
	}
}

func TestDoSendsKeyAndOrganisation(t *testing.T) {
	g := NewWithT(t)
	var received http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r.Header
		fmt.Fprintf(w, `{"body":%q}`, r.Header.Get(headerCallerID))
	}))
	defer server.Close()
	c := New(time.Now(), nil)
	defer c.Close()
	tr := &trace.Trace{Organisations: scenario.Organisations(2, 0)}
	request := trace.Request{Organisation: 1, Name: "once-1", Key: "once-1"}
	result := c.Do(context.Background(), strings.TrimPrefix(server.URL, "http://"), tr, request)
	g.Expect(result.End).To(Equal(Complete))
	g.Expect(received.Get("Authorization")).To(Equal("Bearer example-key-org-0002"))
	g.Expect(received.Get("Idempotency-Key")).To(Equal("once-1"))
}

func TestDoDetectsAnotherCallersPlainAnswer(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"body":"other"}`)
	}))
	defer server.Close()
	c := New(time.Now(), nil)
	defer c.Close()
	tr := &trace.Trace{Organisations: scenario.Organisations(1, 0)}
	result := c.Do(context.Background(), strings.TrimPrefix(server.URL, "http://"), tr, trace.Request{Name: "mine"})
	g.Expect(result.End).To(Equal(Mismatched))
}
