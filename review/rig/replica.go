//go:build review

package rig

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Arrival is a request that reached a replica.
type Arrival struct {
	At      time.Time
	ID      string
	Replica string
	// From is the address of the router that sent it.
	From string
	// Run is false if the replica turned the request away without running it.
	Run bool
}

// Replica is a stand-in for a replica. Its fields are set before Start.
type Replica struct {
	ID, Service, Zone string
	// Slots requests run at once and Queue more wait; others are turned away as not executed.
	Slots, Queue int
	Work         time.Duration
	// Limit, if not empty, is the Server-Limit in all answers.
	Limit string
	// Crashes, if set, tells which requests crash the replica as it begins to run them. It is
	// back after Down.
	Crashes func(r *http.Request) bool
	Down    time.Duration
	// OnCrash, if set, is called at each crash; OnUp when the replica is back, as another boot.
	OnCrash, OnUp func(p *Replica)
	// Events, if not 0, is the number of events of the stream that the replica answers with.
	Events int
	// Fails, if set, tells which requests fail once the replica has done their work, and with
	// which status.
	Fails  func(r *http.Request) (status int, fails bool)
	Record *Record

	mu       sync.Mutex
	addr     string
	ln       net.Listener
	web      *http.Server
	conns    map[net.Conn]bool
	taken    int
	free     chan struct{}
	arrivals []Arrival
	broken   int
	boot     int
	born     int64
	ended    bool
}

// Start listens on a free loopback port.
func (p *Replica) Start() error {
	p.free = make(chan struct{}, p.Slots)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.addr = ln.Addr().String()
	p.serve(ln)
	return nil
}

func (p *Replica) serve(ln net.Listener) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ln, p.conns, p.taken = ln, map[net.Conn]bool{}, 0
	p.boot++
	p.born = time.Now().UnixMilli()
	web := &http.Server{Handler: p, IdleTimeout: 30 * time.Second, ConnState: func(c net.Conn, s http.ConnState) {
		p.mu.Lock()
		defer p.mu.Unlock()
		switch s {
		case http.StateNew:
			p.conns[c] = true
		case http.StateClosed:
			delete(p.conns, c)
		}
	}}
	p.web = web
	go web.Serve(ln)
}

// Addr is the replica's address.
func (p *Replica) Addr() string { return p.addr }

// Key is the key of the replica's entry in the store.
func (p *Replica) Key() string { return "servers/" + p.ID }

// Entry is the entry that the replica writes about itself.
func (p *Replica) Entry(state string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldLeftMs":0,"seqNo":%d,"born":%d}`,
		p.Service, p.addr, p.Zone, p.Slots, state, p.boot, p.born)
}

// Arrivals returns the requests that reached the replica.
func (p *Replica) Arrivals() []Arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Arrival(nil), p.arrivals...)
}

// End ends the replica's process: nothing listens any more and all connections break. It returns
// the number of requests that were running.
func (p *Replica) End() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return 0
	}
	p.ended = true
	p.ln.Close()
	running := p.taken
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
	return running
}

// crash ends the replica and starts it again after Down.
func (p *Replica) crash() {
	if p.isEnded() {
		return
	}
	p.End()
	if p.OnCrash != nil {
		p.OnCrash(p)
	}
	time.AfterFunc(p.Down, func() {
		var ln net.Listener
		var err error
		for range 50 {
			if ln, err = net.Listen("tcp4", p.addr); err == nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		if err != nil {
			p.Record.Printf("replica %s could not start again: %v", p.ID, err)
			return
		}
		p.mu.Lock()
		p.ended = false
		p.mu.Unlock()
		p.serve(ln)
		if p.OnUp != nil {
			p.OnUp(p)
		}
	})
}

func (p *Replica) isEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// ServeHTTP implements http.Handler.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id := r.Header.Get("Jujubeford-Attempt-Id")
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	a := Arrival{At: time.Now(), ID: id, Replica: p.ID, From: host, Run: true}
	w.Header().Set("Jujubeford-Attempt-Id", id)
	if p.Limit != "" {
		w.Header().Set("Server-Limit", p.Limit)
	}
	p.mu.Lock()
	switch expected := r.Header.Get("Jujubeford-Expect-Instance"); {
	case p.ended:
		p.mu.Unlock()
		return
	case expected != "" && expected != p.ID:
		p.mu.Unlock()
		w.Header().Set("Jujubeford-Replica-Id", p.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case p.taken >= p.Slots+p.Queue:
		a.Run = false
		p.arrivals = append(p.arrivals, a)
		p.mu.Unlock()
		w.Header().Set("Jujubeford-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.taken++
	p.arrivals = append(p.arrivals, a)
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.taken--
		p.mu.Unlock()
	}()
	if p.Crashes != nil && p.Crashes(r) {
		p.crash()
		return
	}
	p.free <- struct{}{}
	select {
	case <-time.After(p.Work):
	case <-r.Context().Done():
	}
	<-p.free
	if r.Context().Err() != nil {
		return
	}
	w.Header().Set("Jujubeford-Response-Seal", "seal-"+id)
	if p.Fails != nil {
		if status, fails := p.Fails(r); fails {
			w.WriteHeader(status)
			io.WriteString(w, "failure of "+id)
			return
		}
	}
	if p.Events > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for i := range p.Events {
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i+1, i+1, id)
		w.(http.Flusher).Flush()
		time.Sleep(5 * time.Millisecond)
	}
	if p.Events > 0 {
		return
	}
	io.WriteString(w, "answer to "+id)
}
