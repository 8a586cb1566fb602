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

// maxClockSkew is by how much a router's clock may differ for its minutes to be put
// beside those of others.
const maxClockSkew = 5 * time.Minute

// Merger adds up the documents of routers.
type Merger struct {
	now      time.Time
	windows  []int
	routers  []RouterPart
	services map[string]*mergedService
	accounts map[Key][][numSignals]Count
	worst    map[accountMinuteKey]*Minute
}

type accountMinuteKey struct {
	Key
	minute int64
}

type mergedService struct {
	windows    [][numSignals]Count
	minutes    map[int64]*Minute
	histograms [numKinds]*hdrhistogram.Histogram
}

// NewMerger returns a merger of answers to a question.
func NewMerger(now time.Time, q Question) *Merger {
	return &Merger{
		now:      now,
		windows:  q.Windows,
		services: make(map[string]*mergedService),
		accounts: make(map[Key][][numSignals]Count),
		worst:    make(map[accountMinuteKey]*Minute),
	}
}

// Missing notes that a router did not answer.
func (m *Merger) Missing(router string, err error) {
	m.routers = append(m.routers, RouterPart{Router: router, Error: err.Error()})
}

// Add adds a router's document. One that cannot be read counts as missing, and
// nothing of it is added.
func (m *Merger) Add(router string, doc *Document) {
	decoded, err := m.decode(doc)
	if err != nil {
		m.Missing(router, err)
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

// decode checks a document and decodes its histograms.
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
		for kind, text := range s.Encoded {
			if text == "" {
				continue
			}
			h, err := hdrhistogram.Decode([]byte(text))
			if err != nil {
				return nil, errors.Wrapf(err, "decode the histogram of %s", s.Name)
			}
			out[i][kind] = h
		}
	}
	return out, nil
}

// checkMinutes refuses minutes that no ledger keeps.
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

// Report is what the documents add up to, under the objectives by service.
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
