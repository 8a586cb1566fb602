// Package resumption decides where a broken stream of numbered events may be continued.
//
// An upstream numbers the events of a stream with increasing ids. If the stream breaks, another
// upstream can go on after the id of the last event that the caller has. An upstream that fails
// may spoil events before that, ids among them, so the id of the last event is not always the
// position that its upstream gave it. If the position is uncertain, the stream must not be
// continued: the caller would miss events or get them twice, and could not tell.
package resumption

import (
	"strconv"

	"github.com/pkg/errors"
)

// The reasons for which an event is not forwarded. Callers compare them with errors.Is.
var (
	// ErrOrder means that the id of an event is not greater than the one before.
	ErrOrder = errors.New("the events of the stream are out of order")
	// ErrGap means that a continued stream does not start with the event after the position.
	ErrGap = errors.New("the stream is not continued by the next event")
	// ErrID means that an event of a numbered stream has an id that is not a number, or none
	// although the stream may be resumed.
	ErrID = errors.New("an event of a numbered stream has no valid id")
	// ErrMerged means that an event consists of two: the blank line between them was lost.
	ErrMerged = errors.New("two events in one")
)

// irregularEvents is the number of consecutive events with unexpected ids from which on the ids
// of a stream are taken for irregular. One wrong id makes two ids unexpected: its own and the next.
const irregularEvents = 3

// Position is what a caller has of a stream. It is a value: Advance returns the position after
// more events, which replaces the old one once these events have been written to the caller.
// The zero Position is the beginning of a stream that may not be resumed.
type Position struct {
	// resumable means that the stream may be resumed at another upstream.
	resumable bool
	// number is the id of the last event; numbered means that there was one.
	number   uint64
	numbered bool
	// uncertain means that the caller may have another event last than the one with this
	// number at its upstream.
	uncertain bool
	// continued means that the next event is the first one of another upstream's run.
	continued bool
	// step is the usual difference of two consecutive ids; while it is 0, ids are taken to count
	// the events from 1.
	step uint64
	// unexpected counts the latest events whose ids did not follow by step, and gap is the
	// difference of the last of them to the one before.
	unexpected int
	gap        uint64
	// irregular means that the ids increase by varying steps.
	irregular bool
	// unnumbered is the number of bytes since the last event with an id.
	unnumbered int
}

// Start returns the position of a caller that has the events up to the one with an id, which is
// empty if it has none. An id that is not a number says nothing about the numbers that follow.
// If the stream may not be resumed, events without ids are forwarded.
func Start(id string, resumable bool) Position {
	number, ok := parseNumber(id)
	return Position{resumable: resumable, number: number, numbered: ok}
}

// Continued returns the position for the events of another upstream that continues the stream.
func (p Position) Continued() Position {
	p.continued, p.unnumbered = true, 0
	return p
}

// ResumeAfter returns the id after which another upstream can continue the stream. It returns
// false if no event had an id or if the position is uncertain.
func (p Position) ResumeAfter() (id string, ok bool) {
	if !p.numbered || p.uncertain {
		return "", false
	}
	return strconv.FormatUint(p.number, 10), true
}

// Unnumbered returns the number of bytes since the last event with an id.
func (p Position) Unnumbered() int { return p.unnumbered }

// String describes the position for logs.
func (p Position) String() string {
	switch {
	case !p.numbered:
		return "not numbered"
	case p.uncertain:
		return "uncertain at " + strconv.FormatUint(p.number, 10)
	default:
		return "after " + strconv.FormatUint(p.number, 10)
	}
}

// Advance checks complete events. It returns the position after those that may be forwarded,
// the number of their bytes, and the error of the first one that may not.
func (p Position) Advance(events []byte) (next Position, size int, err error) {
	for size < len(events) {
		e := parseEvent(events[size:])
		after, err := p.advanceOne(e)
		if err != nil {
			return p, size, err
		}
		if after.unnumbered += e.size; after.numbered && (!p.numbered || after.number != p.number) {
			after.unnumbered = 0
		}
		p = after
		size += e.size
	}
	return p, size, nil
}

// advanceOne returns the position after one event, or an error if it must not be forwarded.
func (p Position) advanceOne(e event) (Position, error) {
	switch {
	case e.ids == 0 && !e.data:
		// A comment, or a field without meaning here.
		return p, nil
	case e.ids > 1 || e.dataSplit:
		return p, ErrMerged
	}
	number, ok := parseNumber(e.id)
	switch {
	case !ok && !p.numbered:
		return p, nil
	case !ok && e.ids == 0 && !p.resumable:
		p.uncertain = true
		return p, nil
	case !ok:
		return p, errors.Wrapf(ErrID, "%.64q after %d", e.id, p.number)
	}
	next, err := p.advanceTo(number)
	if err == nil && !e.data {
		next.uncertain = true
	}
	return next, err
}

// advanceTo returns the position after the event with a number.
func (p Position) advanceTo(number uint64) (Position, error) {
	if p.numbered && number <= p.number {
		return p, errors.Wrapf(ErrOrder, "%d after %d", number, p.number)
	}
	gap, step := number-p.number, max(p.step, 1)
	switch {
	case gap == step:
		p.unexpected = 0
	case p.continued && !p.irregular:
		return p, errors.Wrapf(ErrGap, "%d after %d", number, p.number)
	case p.unexpected > 0 && gap == p.gap:
		p.step, p.unexpected, p.irregular = gap, 0, false
	default:
		p.unexpected++
		p.irregular = p.unexpected >= irregularEvents
	}
	p.uncertain = p.unexpected > 0 && !p.irregular
	p.number, p.numbered, p.gap, p.continued = number, true, gap, false
	return p, nil
}

// parseNumber parses an id in the form in which strconv writes a number.
func parseNumber(id string) (number uint64, ok bool) {
	number, err := strconv.ParseUint(id, 10, 64)
	return number, err == nil && strconv.FormatUint(number, 10) == id
}
