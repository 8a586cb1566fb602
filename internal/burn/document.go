package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// maxWorstMinutes bounds the minutes with misses in a router's document; it has
// those with the most misses.
const maxWorstMinutes = 256

// maxWindows bounds the windows of a report.
const maxWindows = 6

// Query asks a router for its Document.
type Query struct {
	// Windows are the lengths of the windows to sum the counts over, in minutes.
	Windows []int `json:"windows"`
}

// Check returns an error if there are no windows, too many, or one that a ledger
// keeps no counts for.
func (q Query) Check() error {
	if len(q.Windows) == 0 || len(q.Windows) > maxWindows {
		return errors.Errorf("%d windows: between 1 and %d are possible", len(q.Windows), maxWindows)
	}
	for _, w := range q.Windows {
		if w < 1 || w > MinutesKept {
			return errors.Errorf("a window of %d minutes: between 1 and %d are kept", w, MinutesKept)
		}
	}
	return nil
}

// Document is one router's answer to a Query.
type Document struct {
	// Started is when the router began to count.
	Started time.Time `json:"started"`
	// Since is the time from which the counts of organisations are complete: Started,
	// or later if minutes were dropped to bound memory.
	Since time.Time `json:"since"`
	// Taken is when the document was made, by the router's clock.
	Taken time.Time `json:"taken"`
	// Dropped is the number of accounts that were dropped to bound memory.
	Dropped  uint64            `json:"dropped"`
	Services []ServiceDocument `json:"services"`
	Accounts []AccountDocument `json:"accounts"`
	// Worst holds the minutes of organisations with the most misses, in descending
	// order of misses.
	Worst []AccountMinute `json:"worst"`
}

// ServiceDocument holds the counts of a service over all organisations. Windows is in
// the order of Query.Windows. EncodedHistograms is indexed by LatencyKind; a histogram
// without a sample is empty.
type ServiceDocument struct {
	Name              string              `json:"name"`
	Windows           [][numSignals]Count `json:"windows"`
	Minutes           []Minute            `json:"minutes"`
	EncodedHistograms [numKinds]string    `json:"histograms"`
}

// AccountDocument holds the counts of an organisation at one service. Windows is in
// the order of Query.Windows.
type AccountDocument struct {
	Key
	Windows [][numSignals]Count `json:"windows"`
}

// AccountMinute is a minute in which an organisation's requests missed objectives.
type AccountMinute struct {
	Key
	Minute
}

// Document returns the answer to a query, which must have passed Check.
func (l *Ledger) Document(now time.Time, q Query) (Document, error) {
	doc := Document{Started: l.started, Since: l.accountsSince(), Taken: now, Dropped: l.dropped}
	for _, name := range slices.Sorted(maps.Keys(l.services)) {
		part, err := l.services[name].document(now, name, q)
		if err != nil {
			return Document{}, err
		}
		doc.Services = append(doc.Services, part)
	}
	minBad := uint32(1)
	for _, key := range l.accounts.Keys() {
		account, _ := l.accounts.Peek(key)
		doc.Accounts = append(doc.Accounts, AccountDocument{Key: key, Windows: account.windows(now, q)})
		for i := range account.minutes {
			if m := &account.minutes[i]; m.Bad() >= minBad && m.At > lastExpiredMinute(now) {
				doc.Worst = append(doc.Worst, AccountMinute{Key: key, Minute: m.clone()})
			}
		}
		if len(doc.Worst) > 2*maxWorstMinutes {
			doc.Worst = worstMinutes(doc.Worst, maxWorstMinutes)
			// Skip minutes with no more misses than the last of those that are kept.
			minBad = doc.Worst[maxWorstMinutes-1].Bad() + 1
		}
	}
	slices.SortFunc(doc.Accounts, func(a, b AccountDocument) int { return a.Key.compare(b.Key) })
	doc.Worst = worstMinutes(doc.Worst, maxWorstMinutes)
	return doc, nil
}

// lastExpiredMinute returns the latest minute that is too old for a document.
func lastExpiredMinute(now time.Time) int64 { return now.Unix()/60 - MinutesKept }

func (s *service) document(now time.Time, name string, q Query) (ServiceDocument, error) {
	part := ServiceDocument{Name: name, Windows: s.windows(now, q)}
	for i := range s.minutes {
		if s.minutes[i].At > lastExpiredMinute(now) {
			part.Minutes = append(part.Minutes, s.minutes[i].clone())
		}
	}
	for kind := range s.histograms {
		var err error
		if part.EncodedHistograms[kind], err = s.histograms[kind].encode(now); err != nil {
			return part, err
		}
	}
	return part, nil
}

// windows sums the counts over each window that ends now, in one pass over the
// minutes.
func (s *series) windows(now time.Time, q Query) [][numSignals]Count {
	out := make([][numSignals]Count, len(q.Windows))
	present := now.Unix() / 60
	for i := len(s.minutes) - 1; i >= 0; i-- {
		m := &s.minutes[i]
		age := present - m.At
		if age >= MinutesKept {
			break
		}
		for w, minutes := range q.Windows {
			if age >= int64(minutes) {
				continue
			}
			for j, c := range m.Counts {
				out[w][j].add(c)
			}
		}
	}
	return out
}

// worstMinutes returns the minutes with the most misses, at most limit of them, in
// descending order of misses. It sorts its argument.
func worstMinutes(minutes []AccountMinute, limit int) []AccountMinute {
	slices.SortFunc(minutes, func(a, b AccountMinute) int {
		return cmp.Or(cmp.Compare(b.Bad(), a.Bad()), cmp.Compare(a.At, b.At), a.Key.compare(b.Key))
	})
	return minutes[:min(len(minutes), limit)]
}

// compare orders keys by service, then by organisation.
func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Service, other.Service), cmp.Compare(k.Organisation, other.Organisation))
}
