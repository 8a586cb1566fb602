package upstream

import "time"

// watchdog calls a function when nothing is heard for too long. It runs only
// while the router waits for the upstream, so that a slow caller is not taken
// for a silent upstream. It is not safe for concurrent use.
type watchdog struct {
	after time.Duration
	timer *time.Timer
}

// newWatchdog returns a stopped watchdog; after 0 it never fires.
func newWatchdog(after time.Duration, fire func()) *watchdog {
	w := &watchdog{after: after}
	if after > 0 {
		w.timer = time.AfterFunc(after, fire)
		w.timer.Stop()
	}
	return w
}

// start gives the upstream its full time.
func (w *watchdog) start() {
	if w.timer != nil {
		w.timer.Reset(w.after)
	}
}

// stop ends the wait.
func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
