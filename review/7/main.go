//go:build review

// Case 7: a replica's entry is removed while the routers that watch the store have been killed.
package main

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jujubeford/jujubeford/review/rig"
)

const (
	// drainMs of the deployment, and how much longer the replica serves before it exits.
	drain      = 2 * time.Second
	lingers    = 150 * time.Millisecond
	dark       = 2 * time.Second // how long the killed machines are dark
	perRouter  = 40              // requests a second at each router that runs
	perZone    = 4
	killedEach = 2 // in each zone: half of all
)

func main() { rig.Main("7", run) }

func run(record *rig.Record, store *rig.Store, trouble bool) (int, error) {
	var zones []string
	for _, z := range []string{"za", "zb"} {
		zones = append(zones, slices.Repeat([]string{z}, perZone)...)
	}
	d, err := rig.NewDeployment(record, store, zones...)
	if err != nil {
		return rig.NotRun, err
	}
	store.Put("op/config", rig.Config(1,
		`{"name":"book","host":"h.example","prefix":"/book/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"priority":1,"service":"app","maxAttempts":1,"public":false}`,
		`{"name":"app","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}`))
	var replicas []*rig.Replica
	for i, zone := range []string{"za", "za", "zb", "zb"} {
		p := &rig.Replica{ID: fmt.Sprintf("i-%d", i+1), Service: "app", Zone: zone, Slots: 16, Queue: 24, Work: 100 * time.Millisecond, Record: record}
		if err := p.Start(); err != nil {
			return rig.NotRun, err
		}
		store.Put(p.Key(), p.Entry("ready"))
		replicas = append(replicas, p)
	}
	leaving := replicas[0]
	if err := d.Start(); err != nil {
		return rig.NotRun, err
	}
	record.Say("%d routers are ready", len(d.Routers))

	// Of each zone the first two routers by address are killed.
	var victims, others []*rig.Router
	inZone := map[string]int{}
	for _, r := range d.Routers {
		if inZone[r.Zone]++; inZone[r.Zone] <= killedEach {
			victims = append(victims, r)
		} else {
			others = append(others, r)
		}
	}
	var mu sync.Mutex
	var results []rig.Result
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, r := range others {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ticks := time.NewTicker(time.Second / perRouter)
			defer ticks.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticks.C:
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					res := rig.Attempt(r, "POST", "/book/x", "a booking", 1500*time.Millisecond)
					mu.Lock()
					results = append(results, res)
					mu.Unlock()
				}()
			}
		}()
	}
	time.Sleep(8 * time.Second)
	if trouble {
		for _, r := range victims {
			r.Signal(9)
		}
		var names []string
		for _, r := range victims {
			names = append(names, r.Name)
		}
		record.Say("killed at the same moment: %s", strings.Join(names, ", "))
		time.AfterFunc(dark, func() {
			for _, r := range victims {
				r.Kill()
				if err := r.Start(); err != nil {
					record.Say("%s does not start again: %v", r.Name, err)
				}
			}
			record.Printf("the killed routers start again")
		})
		time.Sleep(30 * time.Millisecond)
	}
	store.Remove(leaving.Key())
	gone := time.Now()
	record.Say("the entry of %s is removed, the store has acknowledged it", leaving.ID)
	time.Sleep(time.Until(gone.Add(drain + lingers)))
	running := leaving.End()
	ended := time.Now()
	record.Say("%s exits %.3f s later, while it runs %d requests", leaving.ID, ended.Sub(gone).Seconds(), running)
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()

	for _, r := range others {
		if r.Ended() {
			record.Say("%s has ended", r.Name)
			return rig.NotRun, nil
		}
	}
	byID := map[string]rig.Result{}
	sort.Slice(results, func(i, j int) bool { return results[i].SentAt.Before(results[j].SentAt) })
	outcomes := map[string]int{}
	for _, res := range results {
		byID[res.ID] = res
		outcomes[res.Outcome()]++
		record.PrintfAt(res.SentAt, "sent %s to %s: %s after %d ms", res.ID, res.Router, res.Outcome(), res.Took.Milliseconds())
	}
	late, lost := 0, 0
	var last time.Time
	for _, p := range replicas {
		for _, a := range p.Arrivals() {
			record.PrintfAt(a.At, "%s got %s from %s", p.ID, a.ID, a.From)
			if p != leaving || a.At.Sub(gone) <= drain {
				continue
			}
			late, last = late+1, a.At
			if byID[a.ID].Status != 200 {
				lost++
				record.PrintfAt(a.At, "late and lost: %s ran %s, its consumer got %s", p.ID, a.ID, byID[a.ID].Outcome())
			}
		}
	}
	record.Say("consumers: %v", outcomes)
	if late == 0 {
		record.Say("DRAIN held: no request reached %s later than %v after its entry was removed", leaving.ID, drain)
		return rig.Held, nil
	}
	record.Say("DRAIN is broken: %d requests reached %s later than %v after its entry was removed, the last %.3f s after; %d of them were lost as it exited",
		late, leaving.ID, drain, last.Sub(gone).Seconds(), lost)
	return rig.Broken, nil
}
