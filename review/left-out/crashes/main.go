//go:build review

// Left out: all routers are killed at the same moment; a request that crashes replicas comes again.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/jujubeford/jujubeford/review/rig"
)

const (
	stableWindow = 3 * time.Second // stableWindowMs of the deployment
	allowed      = 3               // retries that may reach replicas later than that
	down         = 3 * time.Second // how long a replica that has crashed is away
	dark         = 2 * time.Second // how long the killed machines are dark
	again        = 4 * time.Second // the time between two rounds of the request
)

func main() { rig.Main("left-out/crashes", run) }

func run(record *rig.Record, store *rig.Store, trouble bool) (*rig.Deployment, int, error) {
	d, err := rig.NewDeployment(record, store, "za", "za", "zb", "zb", "zc", "zc")
	if err != nil {
		return d, rig.NotRun, err
	}
	store.Put("op/config", rig.Config(1,
		`{"name":"book","host":"h.example","prefix":"/book/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"priority":1,"service":"app","maxAttempts":1,"public":false}`,
		`{"name":"app","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}`))
	var mu sync.Mutex
	var crashes []time.Time
	var replicas []*rig.Replica
	for i := range 8 {
		p := &rig.Replica{ID: fmt.Sprintf("i-%d", i+1), Service: "app", Zone: []string{"za", "zb", "zc"}[i%3], Slots: 6, Queue: 24, Work: 60 * time.Millisecond, Down: down, Record: record}
		p.Crashes = func(r *http.Request) bool { return r.URL.Path == "/book/poison" }
		p.OnCrash = func(p *rig.Replica) {
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
			record.Printf("%s crashes, for the %d. time in all", p.ID, len(crashes))
		}
		p.OnUp = func(p *rig.Replica) { store.Put(p.Key(), p.Entry("ready")) }
		if err := p.Start(); err != nil {
			return d, rig.NotRun, err
		}
		store.Put(p.Key(), p.Entry("ready"))
		replicas = append(replicas, p)
	}
	if err := d.Start(); err != nil {
		return d, rig.NotRun, err
	}
	record.Say("%d routers are ready", len(d.Routers))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, r := range d.Routers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				res := rig.Attempt(r, http.MethodPost, "/book/sound", "a booking", 1500*time.Millisecond)
				record.PrintfAt(res.SentAt, "sent sound %s to %s: %s", res.ID, res.Router, res.Outcome())
			}
		}()
	}
	poison := map[string]rig.Result{}
	// round sends the request at each router at the same moment.
	round := func(n int) {
		var sending sync.WaitGroup
		for _, r := range d.Routers {
			sending.Add(1)
			go func() {
				defer sending.Done()
				res := rig.Attempt(r, http.MethodPost, "/book/poison", "the request that crashes replicas", 1500*time.Millisecond)
				record.PrintfAt(res.SentAt, "round %d: sent %s to %s: %s", n, res.ID, res.Router, res.Outcome())
				mu.Lock()
				defer mu.Unlock()
				poison[res.ID] = res
			}()
		}
		sending.Wait()
		mu.Lock()
		defer mu.Unlock()
		record.Say("round %d at %.1f s: %d crashes so far", n, record.Since(time.Now()), len(crashes))
	}
	time.Sleep(3 * time.Second)
	var back time.Time
	for n := 1; n <= 3; n++ {
		round(n)
		time.Sleep(again)
	}
	if trouble {
		record.Say("all routers are killed at the same moment, and are dark for %v", dark)
		for _, r := range d.Routers {
			r.Signal(9)
		}
		time.Sleep(dark)
		for _, r := range d.Routers {
			r.Kill()
			if err := r.Start(); err != nil {
				return d, rig.NotRun, err
			}
		}
		for _, r := range d.Routers {
			if !rig.WaitFor(20*time.Second, r.Ready) {
				return d, rig.NotRun, fmt.Errorf("%s is not ready again", r.Name)
			}
		}
		back = time.Now()
		time.Sleep(stableWindow + time.Second)
	}
	for n := 4; n <= 6; n++ {
		round(n)
		time.Sleep(again)
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 3 {
		return d, rig.NotRun, fmt.Errorf("the request has crashed only %d replicas", len(crashes))
	}
	after := 0
	for _, p := range replicas {
		for _, a := range p.Arrivals() {
			if _, ok := poison[a.ID]; !ok {
				continue
			}
			record.PrintfAt(a.At, "%s got the request that crashes replicas: %s from %s", p.ID, a.ID, a.From)
			inTouch := back.IsZero() || a.At.Before(back) || a.At.Sub(back) > stableWindow
			if a.At.Sub(crashes[2]) > stableWindow && inTouch {
				after++
			}
		}
	}
	record.Say("it crashed replicas %d times, and reached them %d times later than %v after the third crash, from routers in touch; %d are allowed", len(crashes), after, stableWindow, allowed)
	if after > allowed {
		record.Say("BUDGET is broken")
		return d, rig.Broken, nil
	}
	record.Say("BUDGET held")
	return d, rig.Held, nil
}
