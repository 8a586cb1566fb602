//go:build review

// A resumable stream loses an event if a replica spoils the event after it.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubeford/jujubeford/review/rig3"
)

const (
	// streams is the number of streams, of which workers run at a time.
	streams, workers = 400, 4
	// replicas is the number of replicas, of which every other one is faulty.
	replicas = 6
	// spoilEvery is which of their answers the faulty replicas spoil: 2 in 100.
	spoilEvery = 50
	// spoilFor is how long they do so from the first stream on.
	spoilFor = 5500 * time.Millisecond
	// events is the number of events of a stream, and spoiled the one that the faulty replica
	// spoils.
	events, spoiled = 8, 5
)

func event(id, name int, attempt string) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", id, name, attempt)
}

func main() {
	r := rig3.New(os.Args[1])
	for i := range replicas {
		id, faulty := fmt.Sprint("i-", i+1), r.Trouble && i%2 == 0
		addr := rig3.Serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { replica(r, id, faulty, w, q) }))
		r.Register(id, "llm", addr, "z0", "ready", 64, 1_700_000_000_000)
	}
	r.Config(3,
		[]string{`{"name":"caption","host":"h.example","prefix":"/caption/","kind":"streaming","resumable":true,"timeoutMs":12000,"targetLatencyMs":300,"targetGapMs":250,"priority":1,"service":"llm","maxAttempts":2,"sticky":true}`},
		[]string{`{"name":"llm","healthPath":"/health","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":431646,"kvTokenBytes":163840,"linkMbps":260000.0,"moves":false,"backups":false,"stride":6}}`})
	x := r.AddRouter("z0")
	r.AwaitReady()
	began.Store(time.Now().UnixNano())
	var broken atomic.Int64
	var all sync.WaitGroup
	for worker := range workers {
		all.Go(func() {
			for i := worker; i < streams; i += workers {
				if !consume(r, x, fmt.Sprint("c", i)) {
					broken.Add(1)
				}
			}
		})
	}
	all.Wait()
	if spoils.Load() == 0 && r.Trouble {
		r.Abandon("no answer was spoiled")
	}
	r.End(broken.Load() > 0, fmt.Sprintf("ORDER: %d of %d streams ended as complete without one of their events; %d answers were spoiled", broken.Load(), streams, spoils.Load()))
}

// answers counts the answers of the faulty replicas, and spoils those that they spoiled.
var answers, spoils atomic.Int64

// began is when the first stream was requested, in Unix nanoseconds.
var began atomic.Int64

// replica streams the events after the one named in Last-Event-Id. A faulty one spoils the id of
// one event, which it writes together with the event before.
func replica(r *rig3.Rig, id string, faulty bool, w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	attempt := q.Header.Get("Jujubeford-Attempt-Id")
	w.Header().Set("Jujubeford-Attempt-Id", attempt)
	if q.Header.Get("Jujubeford-Expect-Instance") != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.Note("%s runs %s after event %q", id, attempt, q.Header.Get("Last-Event-Id"))
	w.Header().Set("Jujubeford-Response-Seal", "seal-"+id+"-"+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	inTime := time.Since(time.Unix(0, began.Load())) < spoilFor
	spoil := faulty && inTime && answers.Add(1)%spoilEvery == 0
	from, err := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	var text string
	for i := from + 1; i <= events; i++ {
		named := i
		if spoil && i == spoiled && from == 0 {
			named = 1
			spoils.Add(1)
			r.Note("%s spoils event %d of %s", id, i, attempt)
		}
		text += event(named, i, attempt)
		if i == spoiled-1 {
			continue
		}
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		text = ""
		time.Sleep(10 * time.Millisecond)
	}
}

// consume reads one stream and reports false if it is complete but lacks an event.
func consume(r *rig3.Rig, x *rig3.Router, attempt string) bool {
	c, err := net.DialTimeout("tcp4", x.Front, time.Second)
	if err != nil {
		r.Abandon("connect: %v", err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(12 * time.Second))
	body := strings.Repeat("x", 800)
	fmt.Fprintf(c, "POST /caption/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key\r\nJujubeford-Attempt-Id: %s\r\nJujubeford-Request-Deadline: 12000\r\n"+
		"Jujubeford-Model: m\r\nJujubeford-Token-Count: 600,48\r\nContent-Length: %d\r\n\r\n%s", attempt, len(body), body)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.Note("%s: no answer: %v", attempt, err)
		return true
	}
	got, err := io.ReadAll(res.Body)
	var pieces []string
	for line := range strings.Lines(string(got)) {
		if piece, ok := strings.CutPrefix(line, "data: piece "); ok {
			piece, _, _ = strings.Cut(piece, " ")
			pieces = append(pieces, piece)
		}
	}
	r.Note("%s: status %d, seal %q, pieces %v, end of the body: %v", attempt, res.StatusCode, res.Header.Get("Jujubeford-Response-Seal"), pieces, err)
	if res.StatusCode != http.StatusOK || err != nil {
		return true
	}
	for i := range events {
		if i >= len(pieces) || pieces[i] != fmt.Sprint(i+1) {
			return false
		}
	}
	return true
}
