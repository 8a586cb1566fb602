package fair

import (
	"testing"

	"github.com/onsi/gomega"
)

// pick is the next of the organisations that wait, without leads.
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
		{"the first by name goes first when all are level", func(*Queue) {}, "a"},
		{"what was charged counts", func(q *Queue) { q.Charge("a", 10, 0) }, "b"},
		{"what is expected counts", func(q *Queue) { q.Expect("a", 10) }, "b"},
		{"an expectation that is settled does not", func(q *Queue) { q.Expect("a", 10); q.Settle("a", 10) }, "a"},
		{"it counts for the share", func(q *Queue) {
			q.SetShare("a", 4)
			q.Charge("a", 30, 0)
			q.Charge("b", 10, 0)
		}, "a"},
		{"what others charged counts", func(q *Queue) { q.AddRemote("a", 10) }, "b"},
		{"but only for this owner's part", func(q *Queue) {
			q.SetPart(0.25)
			q.AddRemote("a", 40)
			q.Charge("b", 11, 0)
		}, "a"},
		{"its own service counts in full until the next word", func(q *Queue) {
			q.SetPart(0.25)
			q.Charge("a", 20, 0)
			q.AddRemote("b", 60)
		}, "b"},
		{"and for the part from then on", func(q *Queue) {
			q.SetPart(0.25)
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
	g.Expect(pick(q, "a", "b")).To(gomega.Equal("a"), "b starts level with a, not 1000 behind")
}

func TestBacklogElsewhereKeepsCredit(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New()
	wait(q, "a")
	q.Charge("a", 1000, 0)
	q.SetElsewhere("b", true)
	wait(q, "b")
	q.Charge("b", 1, 0)
	g.Expect(pick(q, "a", "b")).To(gomega.Equal("b"), "b waits elsewhere and stays behind")
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
	wait(q, "waits")
	g.Expect(q.Report(false)).To(gomega.HaveLen(1), "only what waits")
	g.Expect(q.Report(true)).To(gomega.HaveLen(2))
	again := q.Report(true)
	g.Expect(again).To(gomega.HaveLen(1))
	g.Expect(again[0].Organisation).To(gomega.Equal("waits"))
}
