package resumption

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// numbering is how an upstream numbers its events.
type numbering struct{ first, step int }

// stream is the complete stream of a sound upstream.
type stream struct {
	numbering numbering
	lineEnd   string
	// versions are the events that begin with another field.
	versions []bool
}

// event returns the i-th event, counted from 0. Two bytes differ between the marks of any two
// events, so a spoiled byte does not turn one into another.
func (s *stream) event(i int) string {
	open, end := marks(i)
	lines := []string{fmt.Sprint("id: ", s.numbering.first+i*s.numbering.step), "data: " + open + " piece " + end, "", ""}
	if s.versions[i] {
		lines = append([]string{"x-version: 3"}, lines...)
	}
	return strings.Join(lines, s.lineEnd)
}

func marks(i int) (open, end string) {
	mark := strings.Repeat(string(rune('A'+i)), 2)
	return "<" + mark + "|", "|" + mark + ">"
}

// after returns the index of the first event after an id, which is empty for the first event.
func (s *stream) after(id string) int {
	number, ok := parseNumber(id)
	if !ok || int(number) < s.numbering.first {
		return 0
	}
	return (int(number)-s.numbering.first)/s.numbering.step + 1
}

// drawRun draws what an upstream sends that continues a stream after an id: it may start at
// another event, or one byte may be spoiled (a wrong start with the right id would look sound),
// and it may break off anywhere. The reads are the parts in which it arrives.
func (s *stream) drawRun(t *rapid.T, id string) (reads []string, breaks bool) {
	from := s.after(id)
	elsewhere := id != "" && s.numbering.step == 1 && rapid.IntRange(0, 9).Draw(t, "elsewhere") == 0
	if elsewhere {
		from = rapid.IntRange(0, len(s.versions)-1).Draw(t, "start")
	}
	var text []byte
	for i := from; i < len(s.versions); i++ {
		text = append(text, s.event(i)...)
	}
	if len(text) > 0 && !elsewhere && rapid.Bool().Draw(t, "spoiled") {
		at := rapid.IntRange(0, len(text)-1).Draw(t, "spoiledAt")
		text[at] = rapid.OneOf(rapid.SampledFrom([]byte("\n\r: 0123456789x")), rapid.Byte()).Draw(t, "spoiledByte")
	}
	if breaks = rapid.Bool().Draw(t, "breaks"); breaks {
		text = text[:rapid.IntRange(0, len(text)).Draw(t, "breaksAt")]
	}
	for len(text) > 0 {
		n := rapid.IntRange(1, len(text)).Draw(t, "read")
		reads = append(reads, string(text[:n]))
		text = text[n:]
	}
	return reads, breaks
}

// forward plays the reads of one run. It returns what is forwarded, the position after it, and
// whether the stream is complete.
func forward(p Position, reads []string, breaks bool) (written string, next Position, complete bool) {
	var pending []byte
	for _, read := range reads {
		pending = append(pending, read...)
		next, size, err := p.Advance(pending[:CompleteSize(pending)])
		written += string(pending[:size])
		p, pending = next, pending[size:]
		if err != nil {
			return written, p, false
		}
	}
	return written, p, !breaks && len(strings.TrimSpace(string(pending))) == 0
}

// TestSpoiledStreamsMissAndRepeatNothing guards against streams in which an event is missing,
// comes twice or is of another run: upstreams spoil a byte, break off anywhere and are followed
// by up to two others.
func TestSpoiledStreamsMissAndRepeatNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &stream{
			numbering: rapid.SampledFrom([]numbering{{1, 1}, {1, 1}, {17, 1}, {10, 10}}).Draw(t, "numbering"),
			lineEnd:   rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "lineEnd"),
			versions:  rapid.SliceOfN(rapid.Bool(), 1, 14).Draw(t, "versions"),
		}
		p, got, complete := Start("", true), "", false
		for range 3 {
			after, resumable := p.ResumeAfter()
			if got != "" && !resumable {
				break
			}
			if got != "" {
				p = p.Continued()
			}
			reads, breaks := s.drawRun(t, after)
			var written string
			written, p, complete = forward(p, reads, breaks)
			if got += written; complete {
				break
			}
		}
		s.check(t, got, complete)
	})
}

// check checks what the caller got: the events from the first one on, each once, and all of them
// if the stream is complete. One of the two marks of an event may be spoiled.
func (s *stream) check(t *rapid.T, got string, complete bool) {
	last, ended := -1, false
	for i := range s.versions {
		open, end := marks(i)
		count := max(strings.Count(got, open), strings.Count(got, end))
		at := max(strings.Index(got, open), strings.Index(got, end))
		switch {
		case count > 1:
			t.Fatalf("event %d comes %d times in %q", i, count, got)
		case count == 1 && (ended || at < last):
			t.Fatalf("event %d follows a missing or a later one in %q", i, got)
		case count == 0 && complete:
			t.Fatalf("event %d is missing in %q", i, got)
		}
		ended, last = count == 0, max(last, at)
	}
}

// TestSoundStreamsGoOnAfterEachBreak guards against sound streams that are broken off although
// they could be continued: they break anywhere after their second event.
func TestSoundStreamsGoOnAfterEachBreak(t *testing.T) {
	for _, n := range []numbering{{1, 1}, {0, 1}, {17, 1}, {2, 2}, {10, 10}} {
		s := &stream{numbering: n, lineEnd: "\n", versions: make([]bool, 8)}
		var text string
		for i := range s.versions {
			text += s.event(i)
		}
		for cut := len(s.event(0)) + len(s.event(1)); cut <= len(text); cut++ {
			written, p, _ := forward(Start("", true), []string{text[:cut]}, true)
			after, ok := p.ResumeAfter()
			if !ok {
				t.Fatalf("%v: not resumed after %q", n, written)
			}
			var rest string
			for i := s.after(after); i < len(s.versions); i++ {
				rest += s.event(i)
			}
			continued, _, complete := forward(p.Continued(), []string{rest}, false)
			if !complete || written+continued != text {
				t.Fatalf("%v: broken at %d, continued after %s: %q", n, cut, after, written+continued)
			}
		}
	}
}
