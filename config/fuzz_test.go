package config

import (
	"bytes"
	"testing"
)

// FuzzParse checks that Parse never panics, and that what it accepts prints as a
// text that parses to the same digest and prints the same again.
func FuzzParse(f *testing.F) {
	text := mustPrint(f, &sampleBuilder().cfg)
	f.Add(text)
	// Without the digest line, changed inputs may be valid as well.
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
			t.Fatalf("the printed text is refused: %v\n%s", err, printed)
		}
		if reprinted := mustPrint(t, reparsed); !bytes.Equal(printed, reprinted) {
			t.Fatalf("printed twice:\n%s\n%s", printed, reprinted)
		}
	})
}
