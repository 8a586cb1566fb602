package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/store"
)

// temperatureDirectory takes the value of an upstream's entry for how long it stays cold.
type temperatureDirectory struct{ fakeDirectory }

func (d temperatureDirectory) Instance(key string, value []byte) (dispatch.Instance, error) {
	in, err := d.fakeDirectory.Instance(key, value)
	left, parseErr := time.ParseDuration(string(value))
	in.Cold, in.ColdStated, in.ColdUnknown = left, parseErr == nil, parseErr != nil
	return in, err
}

// What an entry says of a temperature is counted from when it was read, once for each time
// that it is written. What cannot be read leaves what was said before, and the entry in use.
func TestTemperatureOfAnEntry(t *testing.T) {
	g, gw := NewWithT(t), newFollower(t, newFakeFeed())
	gw.options.Directory = temperatureDirectory{}
	read := func(revision uint64, value string) dispatch.Instance {
		list := gw.decodeInstances([]store.Entry{{Key: "instances/1", Value: []byte(value), Index: revision}})
		g.Expect(list).To(HaveLen(1))
		return list[0]
	}
	first := read(1, "3s")
	g.Expect(time.Until(first.ColdUntil)).To(And(BeNumerically(">", 2*time.Second), BeNumerically("<=", 3*time.Second)))
	g.Expect(read(1, "3s").ColdUntil).To(Equal(first.ColdUntil))
	spoilt := read(2, "soon")
	g.Expect([]any{spoilt.ColdUntil, spoilt.ColdStated, spoilt.Addr}).To(Equal([]any{first.ColdUntil, true, first.Addr}))
	g.Expect(time.Until(read(3, "0s").ColdUntil)).To(BeNumerically("<=", 0))
}
