package router

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

// TestUnnamedStreamIsNotResumed guards against a stream that starts again after its first chunks:
// none of them had an id, so there is no position to resume from.
func TestUnnamedStreamIsNotResumed(t *testing.T) {
	g := gomega.NewWithT(t)
	var requests atomic.Int64
	web := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer web.Close()
	r := newCallerRouter(t)
	service := config.ModelService("assistant", "m")
	c := &call{id: "c1", service: &service, method: "POST", path: "/", attempts: make(map[core.Attempt]*attempt)}
	r.startAttempt(c, core.Send{Request: c.id, Attempt: 2, Addr: web.Listener.Addr().String(), Resume: true})
	g.Expect(requests.Load()).To(gomega.BeZero())
	g.Expect(<-r.events).To(gomega.Equal(core.AttemptFailed{Request: c.id, Attempt: 2, Failure: core.FailStatus}))
}
