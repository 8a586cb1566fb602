package router

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jujubeford/jujubeford/internal/owner"
)

const (
	// immediateWaitMS is the longest wait, in milliseconds, that counts as no wait:
	// the round trip to an owner takes as long.
	immediateWaitMS = 5
	// maxServedListed bounds the organisations that a summary lists for one owner.
	maxServedListed = 5
)

// summarise returns the explanation as sentences: the arrival, the wait, then the
// steps in order.
func (e *Explanation) summarise() []string {
	out := []string{e.arrivalSentence()}
	if e.Service != "" {
		out = append(out, e.waitSentence())
		out = append(out, e.servedMeanwhileSentences()...)
	}
	for _, o := range e.Owners {
		if o.Error != "" {
			out = append(out, fmt.Sprintf("What %s decided is not known: %s.", o.Router, o.Error))
		}
	}
	for _, line := range e.Lines {
		if text := e.lineSentence(line); text != "" {
			out = append(out, text)
		}
	}
	if e.Dropped > 0 {
		out = append(out, fmt.Sprintf("%d later steps were not kept.", e.Dropped))
	}
	return out
}

// arrivalSentence says which router received the request, and for which service.
func (e *Explanation) arrivalSentence() string {
	arrived := e.Arrived.UTC().Format(time.RFC3339Nano)
	if e.Service == "" {
		return fmt.Sprintf("%s refused it at %s before it was given to a service.", e.Router, arrived)
	}
	return fmt.Sprintf("%s asked for %s at %s; %s took it in.", e.Organisation, e.Service, arrived, e.Router)
}

// waitSentence says how long the request waited for a slot.
func (e *Explanation) waitSentence() string {
	switch {
	case !e.Granted && e.ended():
		return fmt.Sprintf("It got no slot in %.1f ms.", e.WaitedMS)
	case !e.Granted:
		return fmt.Sprintf("It has waited for a slot for %.1f ms.", e.WaitedMS)
	case e.WaitedMS <= immediateWaitMS:
		return fmt.Sprintf("A slot was free: it waited %.1f ms.", e.WaitedMS)
	default:
		return fmt.Sprintf("It waited %.1f ms for a slot.", e.WaitedMS)
	}
}

// ended reports whether the request was answered or refused.
func (e *Explanation) ended() bool {
	return slices.ContainsFunc(e.Lines, func(l RecordLine) bool { return l.What == lineEnded || l.What == lineRefused })
}

// servedMeanwhileSentences says, for each owner, which organisations were granted slots while
// the request waited; nil if it did not wait.
func (e *Explanation) servedMeanwhileSentences() []string {
	if e.WaitedMS <= immediateWaitMS {
		return nil
	}
	var out []string
	for _, o := range e.Owners {
		if o.Error != "" {
			continue
		}
		if len(o.ServedMeanwhile) == 0 {
			out = append(out, fmt.Sprintf("%s granted no slot of %s in that time.", o.Router, e.Service))
			continue
		}
		out = append(out, fmt.Sprintf("In that time %s granted slots of %s to %s.", o.Router, e.Service, e.servedMeanwhileList(o.ServedMeanwhile)))
	}
	return out
}

// servedMeanwhileList lists the organisations that were granted slots during the wait,
// with the number of slots and why they were chosen.
func (e *Explanation) servedMeanwhileList(served []owner.ServedOrganisation) string {
	var parts []string
	for _, a := range served[:min(len(served), maxServedListed)] {
		text := fmt.Sprintf("%s %d times", a.Organisation, a.Grants)
		switch {
		case a.Organisation == e.Organisation:
			text += " (its own earlier requests)"
		case a.Lead != nil && *a.Lead >= 0:
			text += fmt.Sprintf(" (ahead: it had received %.0f less for its share)", *a.Lead)
		case a.Lead != nil:
			text += fmt.Sprintf(" (behind by %.0f, but what waited could not use the slot)", -*a.Lead)
		}
		parts = append(parts, text)
	}
	if more := len(served) - maxServedListed; more > 0 {
		parts = append(parts, fmt.Sprintf("%d other organisations", more))
	}
	return strings.Join(parts, ", ")
}

// grantedSentence describes the decision behind a grant, if its owner still has it.
func (e *Explanation) grantedSentence(l RecordLine) string {
	for _, o := range e.Owners {
		for _, d := range o.Granted {
			if o.Router == l.Owner && d.Grant == l.Grant {
				return decisionSentence(l, d)
			}
		}
	}
	return fmt.Sprintf("%s granted a slot of %s; why is not kept there any more.", l.Owner, l.Upstream)
}

// decisionSentence describes a grant by the upstreams and organisations that the owner
// chose from.
func decisionSentence(l RecordLine, d owner.Decision) string {
	var upstreams []string
	for _, w := range d.Considered {
		upstreams = append(upstreams, consideredText(w))
	}
	var orgs []string
	for _, s := range d.Standings {
		orgs = append(orgs, fmt.Sprintf("%s at %.0f", s.Organisation, s.VirtualTime))
	}
	return fmt.Sprintf("%s granted a slot of %s; upstreams weighed: %s; organisations that waited: %d (by service for their share: %s).",
		l.Owner, d.Upstream, strings.Join(upstreams, ", "), d.Waiting, strings.Join(orgs, ", "))
}

// consideredText describes an upstream that an owner chose from.
func consideredText(w owner.ConsideredUpstream) string {
	text := fmt.Sprintf("%s with %d free", w.Upstream, w.Free)
	for _, flag := range []struct {
		set  bool
		name string
	}{{w.Slow, "slow"}, {w.Paused, "paused after a failure"}, {w.Leaving, "leaving"}} {
		if flag.set {
			text += ", " + flag.name
		}
	}
	return text
}

// stepFormats holds the sentences for steps that concern an upstream, by
// RecordLine.What.
var stepFormats = map[string]string{
	"claiming":  "As it must run at most once, it had to win its claim before %s was asked.",
	"sent":      "It was sent to %s.",
	"answering": "The answer of %s began.",
	"hedged":    "No token came in time, so it was sent a second time, to %s.",
	"retried":   "After %s failed it went back to its place in the queue.",
	"resumed":   "Its stream broke and was taken up again at %s.",
	"moving":    "It left %s and waited for another upstream to go on.",
	"moved":     "Its stream went on at %s after the tokens that the caller has.",
}

// lineSentence returns the sentence for a step, or "" for "queued", which the wait
// sentence covers.
func (e *Explanation) lineSentence(l RecordLine) string {
	switch l.What {
	case "queued":
		return ""
	case lineGranted:
		return e.grantedSentence(l)
	case lineEnded:
		return endSentence(l.Detail)
	case lineRefused, lineAborted:
		return l.Detail
	case "failed":
		return fmt.Sprintf("%s failed it: %s.", l.Upstream, l.Detail)
	}
	if format, ok := stepFormats[l.What]; ok {
		return fmt.Sprintf(format, l.Upstream)
	}
	return strings.TrimSpace(fmt.Sprintf("%s %s: %s", l.What, l.Upstream, l.Detail))
}

// endSentence says how the request ended.
func endSentence(outcome string) string {
	if outcome == "replayed" {
		return "Nothing ran: it got the answer that is recorded for its idempotency key."
	}
	return fmt.Sprintf("It ended: %s.", outcome)
}
