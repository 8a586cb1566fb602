package resumption

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// numbered returns events with the given ids.
func numbered(ids ...any) string {
	var text strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&text, "id: %v\ndata: x\n\n", id)
	}
	return text.String()
}

// TestPositionIsThatOfWhatIsForwarded guards against a stream that is continued after another
// event than the last one that its caller has.
func TestPositionIsThatOfWhatIsForwarded(t *testing.T) {
	const plain = "data: x\n\n"
	for _, c := range []struct {
		name, events string
		from         Position
		forwarded    string
		resume       string
		err          error
	}{
		{name: "sound", events: numbered(1, 2, 3), forwarded: numbered(1, 2, 3), resume: "3"},
		{name: "comments and retry", events: numbered(1) + ":\n\nretry: 5\n\n\n", forwarded: numbered(1) + ":\n\nretry: 5\n\n\n", resume: "1"},
		{name: "another field first", events: "x-version: 4\nid: 1\ndata: x\n\n", forwarded: "x-version: 4\nid: 1\ndata: x\n\n", resume: "1"},
		{name: "several lines of data", events: "id: 1\ndata: x\ndata: y\n\n", forwarded: "id: 1\ndata: x\ndata: y\n\n", resume: "1"},
		{name: "carriage returns", events: "id: 1\r\ndata: x\r\n\r\nid: 1\r\ndata: x\r\n\r\n", forwarded: "id: 1\r\ndata: x\r\n\r\n", resume: "1", err: ErrOrder},
		{name: "no space", events: "id:1\ndata:x\n\n", forwarded: "id:1\ndata:x\n\n", resume: "1"},

		{name: "lower id", events: numbered(1, 2, 3, 1, 5), forwarded: numbered(1, 2, 3), resume: "3", err: ErrOrder},
		{name: "same id", events: numbered(1, 2, 2), forwarded: numbered(1, 2), resume: "2", err: ErrOrder},
		{name: "jump", events: numbered(1, 2, 7), forwarded: numbered(1, 2, 7)},
		{name: "jump, then lower", events: numbered(1, 2, 7, 4), forwarded: numbered(1, 2, 7), err: ErrOrder},
		{name: "jump, then on", events: numbered(1, 2, 7, 8), forwarded: numbered(1, 2, 7, 8), resume: "8"},
		{name: "first id a jump", events: numbered(7), forwarded: numbered(7)},
		{name: "first id a jump, then on", events: numbered(7, 8), forwarded: numbered(7, 8), resume: "8"},
		{name: "from zero", events: numbered(0, 1), forwarded: numbered(0, 1), resume: "1"},
		{name: "steps of ten", events: numbered(10, 20), forwarded: numbered(10, 20), resume: "20"},
		{name: "steps of ten, one wrong", events: numbered(10, 20, 30, 42), forwarded: numbered(10, 20, 30, 42)},
		{name: "irregular", events: numbered(3, 9, 20, 22), forwarded: numbered(3, 9, 20, 22), resume: "22"},
		{name: "irregular at the start only", events: numbered(10, 15, 30, 40, 50, 90), forwarded: numbered(10, 15, 30, 40, 50, 90)},

		{name: "no number", events: numbered(1, "x"), forwarded: numbered(1), resume: "1", err: ErrID},
		{name: "leading zero", events: numbered(1, "02"), forwarded: numbered(1), resume: "1", err: ErrID},
		{name: "sign", events: numbered(1, "+2"), forwarded: numbered(1), resume: "1", err: ErrID},
		{name: "too large", events: numbered(1, "18446744073709551616"), forwarded: numbered(1), resume: "1", err: ErrID},
		{name: "no id", events: numbered(1) + plain, forwarded: numbered(1), resume: "1", err: ErrID},
		{name: "no id, not resumable", from: Start("", false), events: numbered(1) + plain, forwarded: numbered(1) + plain},
		{name: "no id, not resumable, then on", from: Start("", false), events: numbered(1) + plain + numbered(2), forwarded: numbered(1) + plain + numbered(2), resume: "2"},
		{name: "no number, not resumable", from: Start("", false), events: numbered(1, "x"), forwarded: numbered(1), resume: "1", err: ErrID},
		{name: "never numbers", events: numbered("a", "b"), forwarded: numbered("a", "b")},
		{name: "never ids", events: plain + plain, forwarded: plain + plain},
		{name: "first without id", events: plain + numbered(2), forwarded: plain + numbered(2)},
		{name: "first without id, then on", events: plain + numbered(2, 3), forwarded: plain + numbered(2, 3), resume: "3"},

		{name: "no data", events: numbered(1) + "id: 2\n\n", forwarded: numbered(1) + "id: 2\n\n"},
		{name: "no data, then on", events: numbered(1) + "id: 2\n\n" + numbered(3), forwarded: numbered(1) + "id: 2\n\n" + numbered(3), resume: "3"},
		{name: "id cut off from its data", events: numbered(1) + "id: 2\n\nata: x\n\n", forwarded: numbered(1) + "id: 2\n\nata: x\n\n"},
		{name: "merged, two ids", events: numbered(1) + "id: 2\ndata: xxid: 3\nid: 3\ndata: x\n\n", forwarded: numbered(1), resume: "1", err: ErrMerged},
		{name: "merged, one id", events: numbered(1) + "id: 2\ndata: x\nxid: 3\ndata: x\n\n", forwarded: numbered(1), resume: "1", err: ErrMerged},

		{name: "caller resumes", from: Start("4", true), events: numbered(5), forwarded: numbered(5), resume: "5"},
		{name: "caller resumes, nothing", from: Start("4", true), resume: "4"},
		{name: "caller resumes, from the beginning", from: Start("4", true), events: numbered(1, 2), resume: "4", err: ErrOrder},
		{name: "caller resumes, no id", from: Start("4", true), events: plain, resume: "4", err: ErrID},
		{name: "caller resumes, a jump", from: Start("4", true), events: numbered(7), forwarded: numbered(7)},
		{name: "caller names no number", from: Start("x", true), events: numbered(7), forwarded: numbered(7)},
		{name: "continued", from: Start("4", true).Continued(), events: numbered(5, 6), forwarded: numbered(5, 6), resume: "6"},
		{name: "continued by a later event", from: Start("4", true).Continued(), events: numbered(6, 7), resume: "4", err: ErrGap},
		{name: "continued from the beginning", from: Start("4", true).Continued(), events: numbered(1), resume: "4", err: ErrOrder},
		{name: "continued, then a jump", from: Start("4", true).Continued(), events: numbered(5, 9), forwarded: numbered(5, 9)},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			if c.from == (Position{}) && !strings.Contains(c.name, "not resumable") {
				c.from = Start("", true)
			}
			next, size, err := c.from.Advance([]byte(c.events))
			g.Expect(c.events[:size]).To(Equal(c.forwarded))
			if c.err == nil {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(err).To(MatchError(c.err))
			}
			resume, ok := next.ResumeAfter()
			g.Expect(resume).To(Equal(c.resume), next.String())
			g.Expect(ok).To(Equal(c.resume != ""))
		})
	}
}

// TestUnnumberedCountsSinceTheLastID checks the count that bounds events without ids.
func TestUnnumberedCountsSinceTheLastID(t *testing.T) {
	g := NewWithT(t)
	p, _, err := Position{}.Advance([]byte("data: x\n\ndata: x\n\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.Unnumbered()).To(Equal(18))
	p, _, err = p.Advance([]byte(numbered(1) + ":\n\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.Unnumbered()).To(Equal(3))
	g.Expect(p.Continued().Unnumbered()).To(BeZero())
}
