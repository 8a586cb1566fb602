package config

import (
	"bytes"
	"testing"
)

// FuzzParse checks that Parse never panics, and that a text it accepts survives a
// round trip: it prints as a text that Parse accepts and that prints identically.
func FuzzParse(f *testing.F) {
	text := mustPrint(f, &sampleBuilder().cfg)
	f.Add(text)
	// Without the digest line, mutated inputs can be valid too.
	f.Add(text[bytes.Index(text, []byte("fleet:")):])
	f.Add([]byte("fleet: a\nservices: []\norganisations: []\n"))
	f.Add([]byte("fleet: &a a\nservices: [{name: *a, kind: plain, prefix: /b/, slots: 1, max_wait: 1s, silent_after: 1s}]\n"))
	f.Add([]byte("{fleet: 12, <<: {services: []}}"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		cfg, err := Parse(text)
		if err != nil {
			return
		}
		printed := mustPrint(t, cfg)
		reparsed, err := Parse(printed)
		if err != nil {
			t.Fatalf("Parse rejects the printed text: %v\n%s", err, printed)
		}
		if reprinted := mustPrint(t, reparsed); !bytes.Equal(printed, reprinted) {
			t.Fatalf("the second print differs from the first:\n%s\n%s", printed, reprinted)
		}
	})
}
