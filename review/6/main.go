//go:build review

// Case 6: replicas fail part of the requests that they have run, with a 503 that does not say
// that the request was not executed.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubeford/jujubeford/review/rig"
)

const (
	failing   = 0.4 // of the requests fail
	trouble   = 4 * time.Second
	perRouter = 10 // bookings a second at each router
)

func main() { rig.Main("6", run) }

func run(record *rig.Record, store *rig.Store, withTrouble bool) (int, error) {
	d, err := rig.NewDeployment(record, store, "za", "zb", "zc")
	if err != nil {
		return rig.NotRun, err
	}
	store.Put("op/config", rig.Config(1,
		`{"name":"book","host":"h.example","prefix":"/book/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"priority":1,"service":"app","maxAttempts":1,"public":false}`,
		`{"name":"app","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}`))
	var inTrouble atomic.Bool
	var replicas []*rig.Replica
	for i, zone := range []string{"za", "zb", "zc"} {
		p := &rig.Replica{ID: fmt.Sprintf("i-%d", i+1), Service: "app", Zone: zone, Slots: 6, Queue: 24, Work: 60 * time.Millisecond, Record: record}
		p.Fails = func(*http.Request) (int, bool) {
			return http.StatusServiceUnavailable, inTrouble.Load() && rand.Float64() < failing
		}
		if err := p.Start(); err != nil {
			return rig.NotRun, err
		}
		store.Put(p.Key(), p.Entry("ready"))
		replicas = append(replicas, p)
	}
	if err := d.Start(); err != nil {
		return rig.NotRun, err
	}
	record.Say("%d routers are ready", len(d.Routers))
	// attempts holds the attempts of each booking.
	attempts := map[string][]rig.Result{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	stop := make(chan struct{})
	book := func(number string, i int) {
		defer wg.Done()
		// A consumer repeats an unsafe request only after a promise that it has not run, once
		// and at another router.
		for try := range 2 {
			res := rig.Attempt(d.Routers[(i+try)%len(d.Routers)], http.MethodPost, "/book/x", number, 1500*time.Millisecond)
			mu.Lock()
			attempts[number] = append(attempts[number], res)
			mu.Unlock()
			if res.Err != nil || res.Status != http.StatusServiceUnavailable && res.Status != http.StatusTooManyRequests {
				return
			}
		}
	}
	bookings := 0
	for i := range d.Routers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Second / perRouter):
				}
				mu.Lock()
				bookings++
				number := fmt.Sprintf("booking %d", bookings)
				mu.Unlock()
				wg.Add(1)
				go book(number, i)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	if withTrouble {
		inTrouble.Store(true)
		record.Say("replicas fail %g of their requests with 503, for %v", failing, trouble)
	}
	time.Sleep(trouble)
	inTrouble.Store(false)
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	ran := map[string]string{}
	for _, p := range replicas {
		for _, a := range p.Arrivals() {
			record.PrintfAt(a.At, "%s got %s from %s, run: %v", p.ID, a.ID, a.From, a.Run)
			if a.Run {
				ran[a.ID] = p.ID
			}
		}
	}
	refusedAndRun, twice := 0, 0
	for number, list := range attempts {
		runs := 0
		for _, res := range list {
			record.PrintfAt(res.SentAt, "%s: sent %s to %s: %s %q", number, res.ID, res.Router, res.Outcome(), res.Body)
			if ran[res.ID] == "" {
				continue
			}
			runs++
			switch res.Status {
			case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
				refusedAndRun++
				record.PrintfAt(res.SentAt, "%s: %s was answered %d and had run at %s", number, res.ID, res.Status, ran[res.ID])
			}
		}
		if runs > 1 {
			twice++
		}
	}
	record.Say("%d bookings; %d attempts were answered 503 though they had run, %d bookings were made twice", bookings, refusedAndRun, twice)
	if refusedAndRun > 0 {
		record.Say("REFUSED is broken")
		return rig.Broken, nil
	}
	record.Say("REFUSED held")
	return rig.Held, nil
}
