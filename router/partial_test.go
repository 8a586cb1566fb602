package router

import (
	"encoding/json"
	"testing"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/upstream"
)

// tokenChunk returns a chunk of a chat completion stream with one token.
func tokenChunk(text string) upstream.Chunk {
	return upstream.Chunk{
		Data:   []byte("id: s/1\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text + "\"}}]}\n\n"),
		Tokens: 1,
	}
}

func TestContinuation(t *testing.T) {
	rows := []struct {
		name   string
		body   string
		chunks []upstream.Chunk
		want   string
	}{
		{
			"the partial answer becomes the last message and the limit shrinks",
			`{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"hi"}]}`,
			[]upstream.Chunk{tokenChunk("one"), tokenChunk(" two")},
			`{"model":"m","max_tokens":3,"messages":[{"role":"user","content":"hi"},` +
				`{"role":"assistant","content":"one two"}],"continue_final_message":true,"add_generation_prompt":false}`,
		},
		{
			"without a limit none is added",
			`{"messages":[{"role":"user","content":"hi"}]}`,
			[]upstream.Chunk{tokenChunk("one")},
			`{"messages":[{"role":"user","content":"hi"},{"role":"assistant","content":"one"}],` +
				`"continue_final_message":true,"add_generation_prompt":false}`,
		},
		{"the token limit is already reached", `{"max_tokens":1,"messages":[]}`, []upstream.Chunk{tokenChunk("one")}, ""},
		{
			"a stream with a tool call cannot be continued", `{"messages":[]}`,
			[]upstream.Chunk{{Data: []byte(`data: {"choices":[{"delta":{"tool_calls":[]}}]}`), Tokens: 1}}, "",
		},
		{
			"a stream with a chunk of unknown form cannot be continued", `{"messages":[]}`,
			[]upstream.Chunk{{Data: []byte("data: hello\n\n"), Tokens: 1}}, "",
		},
		{"a request body that is not an object cannot be continued", `[]`, []upstream.Chunk{tokenChunk("one")}, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var p partialAnswer
			for _, c := range row.chunks {
				p.add(c)
			}
			body, ok := p.continuation([]byte(row.body))
			g.Expect(ok).To(gomega.Equal(row.want != ""))
			if ok {
				g.Expect(json.Valid(body)).To(gomega.BeTrue())
				g.Expect(body).To(gomega.MatchJSON(row.want))
			}
		})
	}
}
