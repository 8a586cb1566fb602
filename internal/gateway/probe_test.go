package gateway

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/exchange"
)

func TestProbeThatConnectsIsLoggedWithoutFailure(t *testing.T) {
	g := NewWithT(t)
	g.Expect(failureText(nil)).To(BeEmpty())
	g.Expect(failureText(&exchange.Failure{Kind: core.FailDial, Err: errors.New("refused")})).To(ContainSubstring("refused"))
}
