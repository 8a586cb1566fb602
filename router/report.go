package router

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/core"
)

type burnLedger struct{}

func newBurnLedger() *burnLedger { return &burnLedger{} }

func (r *Router) reportDocument(string) ([]byte, error) { return nil, errors.New("no report yet") }

func (r *Router) serveReport(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "no report yet", http.StatusNotFound)
}

// refused counts a refusal and adds it to the request's record.
func (r *Router) refused(e core.Refuse) {
	r.metrics.refused(e)
	r.records.refuse(e, time.Now())
}

// aborted adds the explicit error to the request's record.
func (r *Router) aborted(e core.Abort) { r.records.abort(e, time.Now()) }

func (r *Router) observed(e core.Observe) { r.metrics.observe(e) }
