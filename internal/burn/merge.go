package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/config"
)

// maxClockSkew bounds the difference between a router's clock and the merger's. A
// document with a larger one is rejected, because its minutes cannot be added to
// those of other routers.
const maxClockSkew = 5 * time.Minute

// Merger combines the documents of routers into a Report.
type Merger struct {
	now      time.Time
	windows  []int
	routers  []RouterPart
	services map[string]*mergedService
	accounts map[Key][][numSignals]Count
	worst    map[accountMinuteKey]*Minute
}

// accountMinuteKey identifies a minute of an account.
type accountMinuteKey struct {
	Key
	minute int64
}

// mergedService sums the documents of a service. Its minutes are by time in minutes
// since the Unix epoch.
type mergedService struct {
	windows    [][numSignals]Count
	minutes    map[int64]*Minute
	histograms [numKinds]*hdrhistogram.Histogram
}

// NewMerger returns a merger for the answers to a query.
func NewMerger(now time.Time, q Query) *Merger {
	return &Merger{
		now:      now,
		windows:  q.Windows,
		services: make(map[string]*mergedService),
		accounts: make(map[Key][][numSignals]Count),
		worst:    make(map[accountMinuteKey]*Minute),
	}
}

// AddMissing records that a router's document is missing from the report, and why.
func (m *Merger) AddMissing(router string, err error) {
	m.routers = append(m.routers, RouterPart{Router: router, Error: err.Error()})
}

// Add adds a router's document. If the document is invalid, the router is recorded
// as missing and nothing of the document is added.
func (m *Merger) Add(router string, doc *Document) {
	decoded, err := m.decode(doc)
	if err != nil {
		m.AddMissing(router, err)
		return
	}
	m.routers = append(m.routers, RouterPart{Router: router, Started: &doc.Started, Since: &doc.Since, Dropped: doc.Dropped})
	for i := range doc.Services {
		m.service(doc.Services[i].Name).add(&doc.Services[i], decoded[i])
	}
	for _, a := range doc.Accounts {
		m.accounts[a.Key] = addWindows(m.accounts[a.Key], a.Windows)
	}
	for i := range doc.Worst {
		w := &doc.Worst[i]
		k := accountMinuteKey{w.Key, w.At}
		if m.worst[k] == nil {
			m.worst[k] = &Minute{At: w.At}
		}
		m.worst[k].add(&w.Minute)
	}
}

// decode validates a document and returns its decoded histograms by service.
func (m *Merger) decode(doc *Document) ([][numKinds]*hdrhistogram.Histogram, error) {
	if skew := doc.Taken.Sub(m.now); skew.Abs() > maxClockSkew {
		return nil, errors.Errorf("its clock differs by %s", skew.Round(time.Second))
	}
	for _, a := range doc.Accounts {
		if len(a.Windows) != len(m.windows) {
			return nil, errors.New("the answer has other windows than the question")
		}
	}
	out := make([][numKinds]*hdrhistogram.Histogram, len(doc.Services))
	for i, s := range doc.Services {
		if len(s.Windows) != len(m.windows) {
			return nil, errors.New("the answer has other windows than the question")
		}
		if err := doc.checkMinutes(s.Minutes); err != nil {
			return nil, err
		}
		for kind, encoded := range s.EncodedHistograms {
			if encoded == "" {
				continue
			}
			h, err := hdrhistogram.Decode([]byte(encoded))
			if err != nil {
				return nil, errors.Wrapf(err, "decode the histogram of %s", s.Name)
			}
			out[i][kind] = h
		}
	}
	return out, nil
}

// checkMinutes returns an error for a minute that no ledger can hold at the time the
// document was taken.
func (d *Document) checkMinutes(minutes []Minute) error {
	for i := range minutes {
		if at := minutes[i].At; at <= lastExpiredMinute(d.Taken) || at > d.Taken.Add(maxClockSkew).Unix()/60 {
			return errors.Errorf("the answer has the minute %d, which lies outside of its history", at)
		}
	}
	return nil
}

func (m *Merger) service(name string) *mergedService {
	s := m.services[name]
	if s == nil {
		s = &mergedService{minutes: make(map[int64]*Minute)}
		for kind := range s.histograms {
			s.histograms[kind] = newHistogram()
		}
		m.services[name] = s
	}
	return s
}

func (s *mergedService) add(doc *ServiceDocument, decoded [numKinds]*hdrhistogram.Histogram) {
	s.windows = addWindows(s.windows, doc.Windows)
	for i := range doc.Minutes {
		minute := &doc.Minutes[i]
		if s.minutes[minute.At] == nil {
			s.minutes[minute.At] = &Minute{At: minute.At}
		}
		s.minutes[minute.At].add(minute)
	}
	for kind, h := range decoded {
		if h != nil {
			s.histograms[kind].Merge(h)
		}
	}
}

// addWindows adds counts by window to a sum, which is created if it is nil.
func addWindows(sum, added [][numSignals]Count) [][numSignals]Count {
	if sum == nil {
		sum = make([][numSignals]Count, len(added))
	}
	for i := range added {
		for j := range added[i] {
			sum[i][j].add(added[i][j])
		}
	}
	return sum
}

// Report returns the report over all documents added so far, under the objectives of
// each service.
func (m *Merger) Report(byService map[string]config.Objectives) Report {
	out := Report{Taken: m.now, Windows: m.windows, Routers: slices.Clone(m.routers)}
	slices.SortFunc(out.Routers, func(a, b RouterPart) int { return cmp.Compare(a.Router, b.Router) })
	for _, name := range slices.Sorted(maps.Keys(m.services)) {
		out.Services = append(out.Services, m.services[name].report(name, m.windows, byService[name]))
	}
	m.listOrganisations(&out, byService)
	m.listWorst(&out)
	return out
}

func (s *mergedService) report(name string, windows []int, o config.Objectives) ServiceReport {
	r := ServiceReport{Name: name, Objectives: objectives(o, windows, s.windows), Latencies: []Latency{}, Minutes: []Minute{}}
	for kind, h := range s.histograms {
		if h.TotalCount() > 0 {
			r.Latencies = append(r.Latencies, latency(LatencyKind(kind), h))
		}
	}
	for _, at := range slices.Sorted(maps.Keys(s.minutes)) {
		r.Minutes = append(r.Minutes, *s.minutes[at])
	}
	return r
}

// listOrganisations adds the organisations that have objectives to the report, those
// with the least budget left first, up to maxOrganisations.
func (m *Merger) listOrganisations(out *Report, byService map[string]config.Objectives) {
	out.Organisations = make([]OrganisationReport, 0, len(m.accounts))
	for key, counts := range m.accounts {
		list := objectives(byService[key.Service], m.windows, counts)
		if len(list) > 0 {
			out.Organisations = append(out.Organisations, OrganisationReport{Key: key, Objectives: list})
		}
	}
	slices.SortFunc(out.Organisations, func(a, b OrganisationReport) int {
		return cmp.Or(cmp.Compare(leastBudgetLeft(a.Objectives), leastBudgetLeft(b.Objectives)), a.Key.compare(b.Key))
	})
	listed := min(len(out.Organisations), maxOrganisations)
	out.Omitted = len(out.Organisations) - listed
	out.Organisations = out.Organisations[:listed]
}

// listWorst adds the minutes with the most misses to the report, up to
// maxWorstListed.
func (m *Merger) listWorst(out *Report) {
	list := make([]AccountMinute, 0, len(m.worst))
	for k, minute := range m.worst {
		list = append(list, AccountMinute{Key: k.Key, Minute: *minute})
	}
	out.Worst = []WorstMinute{}
	for _, w := range worstMinutes(list, maxWorstListed) {
		out.Worst = append(out.Worst, WorstMinute{Key: w.Key, Start: w.Start(), Bad: w.Bad(), Cause: w.Cause()})
	}
}
