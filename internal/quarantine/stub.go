package quarantine

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

type State struct{}

func New() *State { return &State{} }
func (s *State) Crash(now time.Time, org string, fp [32]byte, upstream string) []core.Effect {
	return nil
}
func (s *State) Step(now time.Time, ev core.Event) []core.Effect { return nil }
func (s *State) SetPeers([]core.RouterID)                        {}
func (s *State) Blocked(now time.Time, org string, fp [32]byte) (time.Time, bool) {
	return time.Time{}, false
}
