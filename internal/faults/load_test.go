package faults

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	modelService = "assistant"
	plainService = "booking"
)

const (
	// loadInterval is the time between two requests of the same kind.
	loadInterval = 50 * time.Millisecond
	// Every operation is resent after resendLate, when it has ended. One in
	// resendSoonOneIn operations is also resent after resendSoon, while it runs.
	resendSoon      = 60 * time.Millisecond
	resendLate      = 700 * time.Millisecond
	resendSoonOneIn = 4
	// lightDivisor divides the cost of model requests in a light load, which has
	// twice as many of them.
	lightDivisor = 6
)

// startLoad schedules model requests and at-most-once operations of all
// organisations through all routers for the duration d, and resends the operations
// through another router.
func (f *fleet) startLoad(d time.Duration) {
	for at := time.Duration(0); at < d; at += loadInterval {
		k := int(at / loadInterval)
		n, other := f.nodes[k%len(f.nodes)], f.nodes[(k+1)%len(f.nodes)]
		f.after(at, func() { f.callRouter(n, f.modelRequest(k)) })
		if f.lightLoad {
			f.after(at, func() { f.callRouter(other, f.modelRequest(k)) })
		}
		f.after(at, func() {
			once := f.operationRequest(k)
			f.callRouter(n, once)
			if k%resendSoonOneIn == 0 {
				f.after(resendSoon, func() { f.callRouter(other, once) })
			}
			f.after(resendLate, func() { f.callRouter(other, once) })
		})
	}
}

// modelRequest returns the k-th model request of a load; its body is unique.
func (f *fleet) modelRequest(k int) core.RequestArrived {
	hint := 60 + uint64(k%5)*60
	if f.lightLoad {
		hint /= lightDivisor
	}
	return core.RequestArrived{
		Organisation: fmt.Sprintf("org%d", k%3), Service: modelService, Idempotent: true,
		CostHint: hint, Fingerprint: f.uniqueBody(),
	}
}

// operationRequest returns the k-th at-most-once operation of a load; its key and
// body are unique.
func (f *fleet) operationRequest(k int) core.RequestArrived {
	body := f.uniqueBody()
	return core.RequestArrived{
		Organisation: fmt.Sprintf("org%d", k%3), Service: plainService, AtMostOnce: true,
		Key: "op-" + hex.EncodeToString(body[:4]), CostHint: 20, Fingerprint: body,
	}
}

func (f *fleet) uniqueBody() [32]byte {
	f.serial++
	return sha256.Sum256([]byte(fmt.Sprint(f.serial)))
}

func testConfig() *config.Config {
	c := &config.Config{
		Fleet: "test",
		Services: []config.Service{
			{
				Name: modelService, Kind: config.Model, Model: "m", Slots: 4, MaxWait: 10 * time.Second,
				SilentAfter: time.Second, Idempotent: true, Continues: true,
			},
			{
				Name: plainService, Kind: config.Plain, Prefix: "/booking/", Slots: 4, MaxWait: 10 * time.Second,
				SilentAfter: time.Second, Once: []config.Once{{Method: "POST", Path: "/booking/", Why: "books"}},
			},
		},
	}
	for i := range 3 {
		name := fmt.Sprintf("org%d", i)
		key := sha256.Sum256([]byte(name))
		c.Organisations = append(c.Organisations, config.Organisation{
			Name: name, Share: i + 1, Keys: []string{hex.EncodeToString(key[:])},
			Services: []string{modelService, plainService}, MaxQueued: 1000,
		})
	}
	return c
}

func testUpstreams() []core.Upstream {
	var out []core.Upstream
	for i := range 4 {
		out = append(out, core.Upstream{
			ID: fmt.Sprintf("m%d", i), Service: modelService, Addr: fmt.Sprintf("127.0.0.1:%d", 9000+i),
			Domain: string(rune('a' + i%2)),
		})
	}
	for i := range 2 {
		out = append(out, core.Upstream{
			ID: fmt.Sprintf("p%d", i), Service: plainService, Addr: fmt.Sprintf("127.0.0.1:%d", 9100+i),
			Domain: string(rune('a' + i%2)),
		})
	}
	return out
}
