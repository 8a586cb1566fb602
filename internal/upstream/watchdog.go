package upstream

import "time"

// watchdog calls a function when nothing is heard for too long. It runs only
// while the router waits for the upstream, so that a slow caller is not taken
// for a silent upstream. It is not safe for concurrent use.
type watchdog struct {
	timeout time.Duration
	timer   *time.Timer
}

// newWatchdog returns a stopped watchdog; after 0 it never fires.
func newWatchdog(timeout time.Duration, onTimeout func()) *watchdog {
	w := &watchdog{timeout: timeout}
	if timeout > 0 {
		w.timer = time.AfterFunc(timeout, onTimeout)
		w.timer.Stop()
	}
	return w
}

// start gives the upstream its full time.
func (w *watchdog) start() {
	if w.timer != nil {
		w.timer.Reset(w.timeout)
	}
}

// stop ends the wait.
func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
