//go:build review

// Case 8: another writer leaves entries that cannot be read among those of the replicas; then
// the configuration changes.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/jujubeford/jujubeford/review/rig"
)

const (
	valueBytes  = 1 << 20               // of the settings: the largest value
	every       = 20 * time.Millisecond // the time between two writes
	configApply = 2 * time.Second       // configApplyMs of the deployment
	settle      = 8 * time.Second       // between the last write and the change
	perRouter   = 5                     // requests a second at each router, of each kind
)

// entries is the number of entries that the other writer leaves.
var entries = 40

func main() {
	if n, err := strconv.Atoi(os.Getenv("ENTRIES")); err == nil {
		entries = n
	}
	rig.Main("8", run)
}

const (
	oldRoute = `{"name":"look","host":"h.example","prefix":"/look/","kind":"safe","timeoutMs":1500,"targetLatencyMs":300,"priority":1,"service":"app","maxAttempts":2,"public":false}`
	newRoute = `{"name":"new","host":"h.example","prefix":"/new/","kind":"safe","timeoutMs":1500,"targetLatencyMs":300,"priority":1,"service":"app","maxAttempts":2,"public":false}`
	services = `{"name":"app","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}`
)

func run(record *rig.Record, store *rig.Store, trouble bool) (int, error) {
	d, err := rig.NewDeployment(record, store, "za", "za", "zb", "zb", "zc", "zc")
	if err != nil {
		return rig.NotRun, err
	}
	store.Put("op/config", rig.Config(1, oldRoute, services))
	for i, zone := range []string{"za", "zb", "zc"} {
		p := &rig.Replica{ID: fmt.Sprintf("i-%d", i+1), Service: "app", Zone: zone, Slots: 6, Queue: 24, Work: 20 * time.Millisecond, Record: record}
		if err := p.Start(); err != nil {
			return rig.NotRun, err
		}
		store.Put(p.Key(), p.Entry("ready"))
	}
	if err := d.Start(); err != nil {
		return rig.NotRun, err
	}
	record.Say("%d routers are ready", len(d.Routers))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var old, added, withdrawn []rig.Result
	send := func(key, path string, results *[]rig.Result) {
		for _, r := range d.Routers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Second / perRouter):
					}
					res := rig.AttemptAs(key, r, http.MethodGet, path, "", 1500*time.Millisecond)
					mu.Lock()
					*results = append(*results, res)
					mu.Unlock()
				}
			}()
		}
	}
	send("key-1", "/look/x", &old)
	time.Sleep(5 * time.Second)
	if trouble {
		record.Say("another writer writes %d entries of %d bytes that cannot be read", entries, valueBytes)
		for i := range entries {
			b := make([]byte, valueBytes)
			for j := range b {
				b[j] = byte(rand.Uint32())
			}
			store.Put(fmt.Sprintf("servers/other-%d", i), string(b))
			time.Sleep(every)
		}
		record.Say("the writer has ended")
	}
	time.Sleep(settle)
	store.Put("op/config", rig.Config(2, oldRoute+","+newRoute, services, "key-2"))
	acknowledged := time.Now()
	record.Say("version 2 of the configuration adds a route and withdraws a key, the store has acknowledged it")
	send("key-1", "/new/x", &added)
	send("key-2", "/look/x", &withdrawn)
	time.Sleep(12 * time.Second)
	close(stop)
	wg.Wait()
	for _, r := range d.Routers {
		if r.Ended() {
			record.Say("%s has ended", r.Name)
		}
	}
	outcomes := map[string]int{}
	for _, res := range old {
		outcomes[res.Outcome()]++
		record.PrintfAt(res.SentAt, "sent %s on the old route to %s: %s", res.ID, res.Router, res.Outcome())
	}
	record.Say("on the old route: %v", outcomes)
	late, all := 0, 0
	var last time.Time
	count := func(what string, list []rig.Result, stale func(status int) bool) {
		sort.Slice(list, func(i, j int) bool { return list[i].SentAt.Before(list[j].SentAt) })
		n, found := 0, 0
		for _, res := range list {
			record.PrintfAt(res.SentAt, "sent %s %s to %s: %s", res.ID, what, res.Router, res.Outcome())
			if res.SentAt.Sub(acknowledged) <= configApply {
				continue
			}
			n++
			if stale(res.Status) {
				found++
				if res.SentAt.After(last) {
					last = res.SentAt
				}
			}
		}
		record.Say("of %d requests %s that were sent later than %v after the acknowledgement, %d were handled as only version 1 allows", n, what, configApply, found)
		all, late = all+n, late+found
	}
	count("on the new route", added, func(status int) bool { return status == http.StatusNotFound })
	count("with the withdrawn key", withdrawn, func(status int) bool { return status == http.StatusOK })
	if all == 0 {
		return rig.NotRun, fmt.Errorf("nothing was sent after the change")
	}
	if late > 0 {
		record.Say("CONFIG is broken, the last request was sent %.1f s after the acknowledgement", last.Sub(acknowledged).Seconds())
		return rig.Broken, nil
	}
	record.Say("CONFIG held")
	return rig.Held, nil
}
