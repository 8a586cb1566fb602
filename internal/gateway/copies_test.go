package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/store"
)

// Reports of a peer that is as far behind arrive between those of one that is ahead.
func TestPeerAheadIsCopiedDespiteOthersBehind(t *testing.T) {
	for _, x := range []struct {
		situation copySituation
		want      time.Duration
	}{
		{copySituation{domain: "a", watches: true}, copyDelayWatching},
		{copySituation{domain: "a"}, copyDelayRemote},
		{copySituation{domain: "a", storeLost: true}, 0},
	} {
		t.Run(fmt.Sprintf("%+v", x.situation), func(t *testing.T) {
			g, c := NewWithT(t), copyState{}
			x.situation.lastChange = store.Position{Era: 1, Revision: 39}
			start := time.Unix(1000, 0)
			for at := time.Duration(0); at <= 2*time.Second; at += 10 * time.Millisecond {
				_, due := c.observe(start.Add(at), x.situation, keysReport{from: "behind", domain: "a", lastChange: store.Position{Era: 1, Revision: 39}})
				g.Expect(due).To(BeFalse(), "a peer without newer keys is not copied")
				if from, due := c.observe(start.Add(at), x.situation, keysReport{from: "ahead", domain: "b", lastChange: store.Position{Era: 1, Revision: 40}}); due {
					g.Expect(from).To(Equal("ahead"))
					g.Expect(at).To(Equal(x.want))
					return
				}
			}
			t.Fatal("the keys of the peer that is ahead were not copied within 2 s")
		})
	}
}

func TestDelayOfCopiesStartsAnewAfterCatchingUp(t *testing.T) {
	g, c := NewWithT(t), copyState{}
	start := time.Unix(1000, 0)
	watching := copySituation{domain: "a", watches: true, lastChange: store.Position{Era: 1, Revision: 39}}
	ahead := keysReport{from: "ahead", domain: "a", lastChange: store.Position{Era: 1, Revision: 40}}
	_, due := c.observe(start, watching, ahead)
	g.Expect(due).To(BeFalse())
	watching.lastChange.Revision = 40
	_, due = c.observe(start.Add(100*time.Millisecond), watching, ahead)
	g.Expect(due).To(BeFalse())
	ahead.lastChange.Revision = 41
	_, due = c.observe(start.Add(time.Minute), watching, ahead)
	g.Expect(due).To(BeFalse())
	from, due := c.observe(start.Add(time.Minute+copyDelayWatching), watching, ahead)
	g.Expect(due).To(BeTrue())
	g.Expect(from).To(Equal("ahead"))
}
