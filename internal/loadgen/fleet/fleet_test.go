package fleet

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const fleetText = `
policy: owner
slots: 8
token_time: 25ms
routers:
  - {name: r1, domain: ga-east/a, addr: '127.0.0.1:8101', admin: '127.0.0.1:8301', pid_file: out/fleet/r1.pid}
engines:
  - {name: ea1, domain: ga-east/a, control: '127.0.0.1:9501'}
  - {name: ea2, domain: ga-east/a, control: '127.0.0.1:9502'}
`

func TestLoad(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "fleet.yaml")
	g.Expect(os.WriteFile(path, []byte(fleetText), 0o600)).To(Succeed())
	f, err := Load(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.TokenTime).To(Equal(25 * time.Millisecond))
	g.Expect(f.TotalSlots()).To(Equal(16))
	g.Expect(f.TokenRate()).To(Equal(640.0))
}

func TestCheckRejectsNonLoopbackAddresses(t *testing.T) {
	local := Router{Name: "r1", Addr: "127.0.0.1:8101"}
	tests := []struct {
		name  string
		fleet Fleet
		fault string
	}{
		{"none", Fleet{}, "no routers"},
		{"router", Fleet{Routers: []Router{{Name: "r1", Addr: "10.0.0.1:80"}}}, "not a loopback"},
		{"name", Fleet{Routers: []Router{{Name: "r1", Addr: "localhost:80"}}}, "not IP:port"},
		{"admin", Fleet{Routers: []Router{{Name: "r1", Addr: "[::1]:80", Admin: "0.0.0.0:80"}}}, "not a loopback"},
		{"no address", Fleet{Routers: []Router{{Name: "r1"}}}, "no address"},
		{"relay", Fleet{Routers: []Router{local}, Relay: "192.0.2.1:1"}, "not a loopback"},
		{"engine", Fleet{Routers: []Router{local}, Engines: []Upstream{{Control: "192.0.2.1:1"}}}, "not a loopback"},
		{"plain", Fleet{Routers: []Router{local}, Plain: []Upstream{{Control: "192.0.2.1:1"}}}, "not a loopback"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			NewWithT(t).Expect(test.fleet.Check()).To(MatchError(ContainSubstring(test.fault)))
		})
	}
}
