package router

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/burn"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// newPeerUp returns the event of a connection to another router.
func newPeerUp(id core.RouterID, peerAddr, adminAddr string) core.PeerUp {
	return core.PeerUp{Member: &wire.Member{
		Id: string(id), Name: "r2", Domain: "ga-east/b", PeerAddr: peerAddr, AdminAddr: adminAddr, Version: 1,
	}}
}

func TestUnconnectedRoutersAreQueriedAtAdminPort(t *testing.T) {
	g := gomega.NewWithT(t)
	other := newTestRouter(t)
	server := httptest.NewServer(other.adminMux())
	defer server.Close()
	addr := server.Listener.Addr().String()
	r := newTestRouter(t,
		newPeerUp(other.self.ID, "127.0.0.1:11", addr),
		newPeerUp("r3.1", "127.0.0.1:12", addr),
		newPeerUp("r4.1", "127.0.0.1:13", ""),
	)

	report, err := r.report(context.Background(), burn.Query{Windows: []int{5}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	failures := make(map[string]string)
	for _, part := range report.Routers {
		failures[part.Router] = part.Error
	}
	g.Expect(failures).To(gomega.Equal(map[string]string{
		string(r.self.ID): "", string(other.self.ID): "",
		"r3.1": "here is router " + string(other.self.ID) + ", not r3.1",
		"r4.1": "no address of router r4.1 is known here",
	}))
}

func TestQueriesBeyondLimitAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newTestRouter(t)
	for range maxConcurrentReplies {
		g.Expect(r.queries.acquireReplySlot()).To(gomega.BeTrue())
	}
	answer := getAdmin(r, queryPath+"report?router="+string(r.self.ID))
	g.Expect(answer.Body.String()).To(gomega.ContainSubstring(errBusy.Error()))
	r.queries.releaseReplySlot()
	answer = getAdmin(r, queryPath+"report?router="+string(r.self.ID)+"&arg=nonsense")
	g.Expect(answer.Body.String()).To(gomega.ContainSubstring("decode the question"))
}
