//go:build review

package rig

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Config is the operator's configuration: routes and services as JSON, and two tenants with a key
// each, less the keys that are withdrawn.
func Config(version int, routes, services string, withdrawn ...string) string {
	var tenants []string
	for i, key := range []string{"key-1", "key-2"} {
		keys := fmt.Sprintf("%q", key)
		if slices.Contains(withdrawn, key) {
			keys = ""
		}
		tenants = append(tenants, fmt.Sprintf(`{"name":"tenant-%d","apiKeys":[%s],"priority":1}`, i+1, keys))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":250000},"tenants":[%s]}`,
		version, routes, services, strings.Join(tenants, ","))
}

// Main runs a case that is in a folder of review/, with the disruption unless TROUBLE is 0, and
// ends the process with the exit code.
func Main(folder string, run func(record *Record, store *Store, trouble bool) (int, error)) {
	code := NotRun
	defer func() { os.Exit(code) }()
	record, err := NewRecord(filepath.Join("review", folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer record.Close()
	store, err := NewStore()
	if err != nil {
		record.Say("the store does not start: %v", err)
		return
	}
	defer store.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Say("disruption: %v", trouble)
	type end struct {
		code int
		err  error
	}
	ended := make(chan end, 1)
	defer closeAll()
	go func() {
		var e end
		e.code, e.err = run(record, store, trouble)
		ended <- e
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case e := <-ended:
		if code = e.code; e.err != nil {
			record.Say("the case could not run: %v", e.err)
			code = NotRun
		}
	case <-stop:
		record.Say("interrupted")
	case <-time.After(115 * time.Second):
		record.Say("the case takes too long")
	}
}
