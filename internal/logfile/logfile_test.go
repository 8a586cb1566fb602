package logfile

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const (
	firstLog = `I0127 06:49:03.000100   26229 follow.go:140] "Store: lost." err="busy" revision=7
I0127 06:49:03.100000   26229 converse.go:82] "Gateway: request sent." id="a1" attempt=1 upstream="u1"
I0127 06:49:03.200000   26229 converse.go:82] "Gateway: request sent." id="other" attempt=1 upstream="u1"
goroutine text that is no line of the log
I0127 06:49:03.350000   26229 converse.go:196] "Gateway: request ended." id="a1" outcome="failed" reason="may-have-run"
I0127 06:49:09.000000   26229 follow.go:150] "Store: regained." revision=8
`
	// The clock of the second instance is two minutes behind.
	secondLog = `   1.2 front-b I0127 06:47:05.000000      12 callers.go:190] "Gateway: request refused." id="a1" status=503 reason="router-overloaded"
`
)

func TestPartsOfOneRequest(t *testing.T) {
	g := NewWithT(t)
	var excerpts []*Excerpt
	for _, f := range []struct{ name, text string }{{"a.log", firstLog}, {"b.log", secondLog}, {"c.log", "nothing\n"}} {
		excerpt, err := Find(f.name, strings.NewReader(f.text), "a1")
		g.Expect(err).NotTo(HaveOccurred())
		if excerpt != nil {
			excerpts = append(excerpts, excerpt)
		}
	}
	g.Expect(excerpts).To(HaveLen(2))
	var out strings.Builder
	Print(&out, "a1", excerpts)
	g.Expect(out.String()).To(Equal(`request a1
in 2 files; their clocks may differ, so compare times within a file only

b.log, from Jan 27 06:47:05.000000 on its clock
       +0.000ms  "Gateway: request refused." id="a1" status=503 reason="router-overloaded"

a.log, from Jan 27 06:49:03.100000 on its clock
~     -99.900ms  "Store: lost." err="busy" revision=7
       +0.000ms  "Gateway: request sent." id="a1" attempt=1 upstream="u1"
     +250.000ms  "Gateway: request ended." id="a1" outcome="failed" reason="may-have-run"
`))
}

func TestContextIsBounded(t *testing.T) {
	g := NewWithT(t)
	text := strings.Repeat(`I0127 06:49:03.000000 1 a.go:1] "Peers: lost."`+"\n", 3*maxContextLines) +
		`I0127 06:49:03.100000 1 a.go:1] "Gateway: request ended." id="x"` + "\n"
	excerpt, err := Find("f", strings.NewReader(text), "x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(excerpt.Lines).To(HaveLen(maxContextLines + 1))
}

func TestLineOverTheBoundIsAnError(t *testing.T) {
	_, err := Find("f", strings.NewReader(strings.Repeat("x", maxLineBytes+1)), "x")
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("read f")))
}
