//go:build review

package rig

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// MemoryMb and MaxFds are the limits of a machine: those of the first site that the pages describe.
// They are set before NewDeployment.
var MemoryMb, MaxFds = 284, 4200

// Deployment is a small deployment: its zones, and the settings that its machines share.
type Deployment struct {
	Dir     string
	Store   *Store
	Routers []*Router
	Record  *Record

	// mu guards closed, which keeps routers from being started while they are ended.
	mu     sync.Mutex
	closed bool
}

// opened are the deployments to close at the end.
var (
	openedMu sync.Mutex
	opened   []*Deployment
)

// closeAll closes all deployments.
func closeAll() {
	openedMu.Lock()
	defer openedMu.Unlock()
	for _, d := range opened {
		d.Close()
	}
}

// Router is a router's process on a machine of its own.
type Router struct {
	Name, Host, Zone string
	d                *Deployment
	settings, log    string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

const settingsText = `node = "%s"
role = "router"
machineClass = "front"
serves = ["front","control"]
ip = "%s"
zone = "%s"
region = "r"
internalPorts = [%d,%d]
seeds = [%s]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
%s
[listen]
front = "%s:%d"
readiness = "%s:%d"
control = "%s:%d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
maxFds = %d
linkMbps = 1000.0
diskMb = 0
[tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxStretchMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
recoveryS = 12
passMs = 120
reuseWindowS = 10
quotaWindowS = 4
[platform]
address = "%s"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`

// NewDeployment writes the settings of one router for each zone named, in that order; a zone
// may be named several times. Its files are in a temporary folder.
func NewDeployment(record *Record, store *Store, zones ...string) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Dir: dir, Store: store, Record: record}
	openedMu.Lock()
	opened = append(opened, d)
	openedMu.Unlock()
	hosts, err := Hosts(len(zones))
	if err != nil {
		return nil, err
	}
	var seeds, zoneLines []string
	for i, h := range hosts {
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", h, ControlPort)))
		}
	}
	seen := map[string]bool{}
	for _, z := range zones {
		if !seen[z] {
			seen[z] = true
			zoneLines = append(zoneLines, z+` = "r"`)
		}
	}
	for i, zone := range zones {
		h := hosts[i]
		r := &Router{Name: fmt.Sprintf("front-%s-%d", zone, i+1), Host: h, Zone: zone, d: d}
		r.settings, r.log = filepath.Join(dir, r.Name+".toml"), filepath.Join(dir, r.Name+".log")
		text := fmt.Sprintf(settingsText, r.Name, h, zone, internalFirst, internalLast, strings.Join(seeds, ","), strings.Join(zoneLines, "\n"),
			h, FrontPort, h, ReadyPort, h, ControlPort, MemoryMb, MaxFds, store.Addr)
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		d.Routers = append(d.Routers, r)
	}
	return d, nil
}

// Start starts all routers and waits until they are ready.
func (d *Deployment) Start() error {
	for _, r := range d.Routers {
		if err := r.Start(); err != nil {
			return err
		}
	}
	for _, r := range d.Routers {
		if !WaitFor(20*time.Second, r.Ready) {
			return fmt.Errorf("%s is not ready after 20 s", r.Name)
		}
	}
	return nil
}

// Close ends all routers and removes the files. Logs are kept if KEEP_LOGS names a folder.
func (d *Deployment) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, r := range d.Routers {
		r.Kill()
	}
	if to := os.Getenv("KEEP_LOGS"); to != "" {
		for _, r := range d.Routers {
			if b, err := os.ReadFile(r.log); err == nil {
				os.WriteFile(filepath.Join(to, r.Name+".log"), b, 0o600)
			}
		}
	}
	os.RemoveAll(d.Dir)
}

// Start starts the process with the command of the deploy file, in the repository's root.
func (r *Router) Start() error {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	if r.d.closed {
		return fmt.Errorf("the run is over")
	}
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/jujubeford", "gateway", "-metrics-port", "7401")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.d.Dir, "LANG=C", "JUJUBEFORD_SETTINGS=" + r.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		cmd.Wait()
		close(exited)
	}()
	r.mu.Lock()
	r.cmd, r.exited = cmd, exited
	r.mu.Unlock()
	return nil
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		r.cmd.Process.Signal(s)
	}
}

// Kill kills the process and waits for its end.
func (r *Router) Kill() {
	r.Signal(syscall.SIGKILL)
	r.mu.Lock()
	exited := r.exited
	r.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Ended reports whether the process has ended.
func (r *Router) Ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exited == nil {
		return true
	}
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}

// Front is the address for consumers.
func (r *Router) Front() string { return fmt.Sprintf("%s:%d", r.Host, FrontPort) }

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Ready asks the readiness address.
func (r *Router) Ready() bool {
	resp, err := readyClient.Get(fmt.Sprintf("http://%s:%d/-/readiness", r.Host, ReadyPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
