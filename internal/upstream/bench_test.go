package upstream

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jujubeford/jujubeford/internal/sse"
)

// BenchmarkStreamChunk measures the processor time to check and encode one chunk of
// a stream.
func BenchmarkStreamChunk(b *testing.B) {
	const chunks = 1000
	var text strings.Builder
	for i := range chunks {
		text.WriteString(tokenEvent(fmt.Sprint("s/", i+1), "word"))
	}
	b.ReportAllocs()
	for n := 0; n < b.N; n += chunks {
		body := &streamBody{events: sse.NewReader(strings.NewReader(text.String()))}
		for range chunks {
			if _, err := body.next(); err != nil {
				b.Fatal(err)
			}
		}
	}
}
