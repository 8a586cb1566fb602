package router

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
)

func TestReleaseValidation(t *testing.T) {
	rows := []struct {
		name, body string
		status     int
	}{
		{"a release", `{"organisation":"o","fingerprint":"` + strings.Repeat("0a", 32) + `"}`, http.StatusAccepted},
		{"no JSON", `{`, http.StatusBadRequest},
		{"no organisation", `{"fingerprint":"` + strings.Repeat("0a", 32) + `"}`, http.StatusBadRequest},
		{"a short fingerprint", `{"organisation":"o","fingerprint":"0a"}`, http.StatusBadRequest},
		{"no hex", `{"organisation":"o","fingerprint":"` + strings.Repeat("zz", 32) + `"}`, http.StatusBadRequest},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newCallerRouter(t)
			w := httptest.NewRecorder()
			r.adminMux().ServeHTTP(w, httptest.NewRequest(http.MethodPost, ReleasePath, strings.NewReader(row.body)))
			g.Expect(w.Code).To(gomega.Equal(row.status))
			if row.status == http.StatusAccepted {
				g.Expect(<-r.events).To(gomega.BeAssignableToTypeOf(core.LiftQuarantine{}))
			} else {
				g.Expect(r.events).To(gomega.BeEmpty())
			}
		})
	}
}

func TestPoisonRefusalCarriesFingerprint(t *testing.T) {
	g := gomega.NewWithT(t)
	w := httptest.NewRecorder()
	c := &call{fingerprint: [32]byte{10}}
	newReplyWriter(w, c).refuse(core.Refuse{Status: http.StatusUnprocessableEntity, Reason: core.ReasonQuarantined})
	g.Expect(w.Header().Get(HeaderFingerprint)).To(gomega.Equal("0a" + strings.Repeat("00", 31)))
}
