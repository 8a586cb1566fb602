package upstream

import "time"

// watchdog calls a function if no data arrives within a timeout. It runs only while
// the router waits for the upstream, so that an upstream does not count as silent
// because the caller reads slowly. It is not safe for concurrent use.
type watchdog struct {
	timeout time.Duration
	timer   *time.Timer
}

// newWatchdog returns a stopped watchdog; with a timeout of 0 it never fires.
func newWatchdog(timeout time.Duration, onTimeout func()) *watchdog {
	w := &watchdog{timeout: timeout}
	if timeout > 0 {
		w.timer = time.AfterFunc(timeout, onTimeout)
		w.timer.Stop()
	}
	return w
}

// start begins the timeout, or begins it anew.
func (w *watchdog) start() {
	if w.timer != nil {
		w.timer.Reset(w.timeout)
	}
}

// stop ends the timeout without a call.
func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
