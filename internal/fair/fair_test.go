package fair

import (
	"testing"

	"github.com/onsi/gomega"
)

// pick returns the organisation that is served next, without leads.
func pick(q *Queue, orgs ...string) string {
	var c []Candidate
	for _, o := range orgs {
		c = append(c, Candidate{Organisation: o})
	}
	return q.Pick(c)
}

// wait marks organisations as backlogged.
func wait(q *Queue, orgs ...string) {
	for _, o := range orgs {
		q.SetBacklogged(o, true)
	}
}

func TestPickOrder(t *testing.T) {
	rows := []struct {
		name string
		do   func(q *Queue)
		want string
	}{
		{"equal virtual times are ordered by name", func(*Queue) {}, "a"},
		{"charged cost counts", func(q *Queue) { q.Charge("a", 10, 0) }, "b"},
		{"pending cost counts", func(q *Queue) { q.AddPending("a", 10) }, "b"},
		{"released pending cost does not count", func(q *Queue) { q.AddPending("a", 10); q.ReleasePending("a", 10) }, "a"},
		{"cost is divided by the share", func(q *Queue) {
			q.SetShare("a", 4)
			q.Charge("a", 30, 0)
			q.Charge("b", 10, 0)
		}, "a"},
		{"cost charged by other owners counts", func(q *Queue) { q.AddRemote("a", 10) }, "b"},
		{"remote cost counts for the local fraction only", func(q *Queue) {
			q.SetLocalFraction(0.25)
			q.AddRemote("a", 40)
			q.Charge("b", 11, 0)
		}, "a"},
		{"local cost counts in full before the next remote update", func(q *Queue) {
			q.SetLocalFraction(0.25)
			q.Charge("a", 20, 0)
			q.AddRemote("b", 60)
		}, "b"},
		{"local cost counts for the local fraction after a remote update", func(q *Queue) {
			q.SetLocalFraction(0.25)
			q.Charge("a", 20, 0)
			q.AddRemote("a", 0)
			q.Charge("b", 6, 0)
		}, "a"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			q := New()
			wait(q, "a", "b")
			row.do(q)
			gomega.NewWithT(t).Expect(pick(q, "a", "b")).To(gomega.Equal(row.want))
		})
	}
}

func TestIdleTimeEarnsNoCredit(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New()
	wait(q, "a")
	q.Charge("a", 1000, 0)
	g.Expect(pick(q, "a")).To(gomega.Equal("a"))
	wait(q, "b")
	q.Charge("b", 1, 0)
	g.Expect(pick(q, "a", "b")).To(gomega.Equal("a"), "b starts at a's virtual time, not 1000 behind")
}

func TestBacklogElsewhereKeepsCredit(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New()
	wait(q, "a")
	q.Charge("a", 1000, 0)
	q.SetBackloggedElsewhere("b", true)
	wait(q, "b")
	q.Charge("b", 1, 0)
	g.Expect(pick(q, "a", "b")).To(gomega.Equal("b"), "b is backlogged at other owners and keeps its lower virtual time")
}

func TestCandidateLead(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New()
	wait(q, "a", "b")
	q.Charge("a", 10, 0)
	g.Expect(q.Pick([]Candidate{{"a", 11}, {"b", 0}})).To(gomega.Equal("a"))
	g.Expect(q.Pick([]Candidate{{"a", 9}, {"b", 0}})).To(gomega.Equal("b"))
	g.Expect(q.Pick(nil)).To(gomega.BeEmpty())
}

func TestReportListsChangedAndBacklogged(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New()
	q.SetShare("idle", 3)
	q.Charge("served", 5, 0)
	wait(q, "waiting")
	g.Expect(q.Report(false)).To(gomega.HaveLen(1), "only backlogged organisations")
	g.Expect(q.Report(true)).To(gomega.HaveLen(2))
	again := q.Report(true)
	g.Expect(again).To(gomega.HaveLen(1))
	g.Expect(again[0].Organisation).To(gomega.Equal("waiting"))
}
