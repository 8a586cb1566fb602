//go:build review

// Package rig3 starts routers as separate processes against stand-ins of the platform's store
// and of replicas, on loopback addresses, for the scripts of the third review.
package rig3

import (
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jujubeford/jujubeford/platform/standin/revkv"
)

// The values of a small deployment, as its data sheet and DEPLOY.md give them.
const settingsText = `node = "%[1]s"
role = "router"
machineClass = "front"
serves = ["front","control"]
ip = "%[2]s"
zone = "%[3]s"
region = "r"
internalPorts = [7400,7415]
seeds = [%[4]s]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
z0 = "r"
z1 = "r"
[listen]
front = "%[2]s:8783"
readiness = "%[2]s:8780"
control = "%[2]s:8785"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 134
maxFds = 4100
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
budgetSlack = 58
recoveryS = 12
passMs = 120
reuseWindowS = 8.9
quotaWindowS = 4
[platform]
address = "%[5]s"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`

// Rig is a store, replicas and routers.
type Rig struct {
	// Trouble is false if the run goes without the disruption (TROUBLE=0).
	Trouble bool
	// Store is the stand-in of the platform's store.
	Store *revkv.Server

	dir       string
	storeAddr string
	record    *os.File
	began     time.Time

	mu      sync.Mutex
	routers []*Router
}

// Router is a router process.
type Router struct {
	Name, IP string
	// Front and Ready are its addresses for consumers and for the readiness check.
	Front, Ready string

	rig  *Rig
	path string
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// New opens the record in the given folder and starts the store.
func New(folder string) *Rig {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		CannotRun("open the record: %v", err)
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		CannotRun("create a temporary folder: %v", err)
	}
	r := &Rig{Trouble: os.Getenv("TROUBLE") != "0", Store: revkv.New(), dir: dir, record: record, began: time.Now()}
	ln := Listen()
	r.storeAddr = ln.Addr().String()
	go func() { _ = http.Serve(ln, r.Store.Handler()) }()
	r.Note("trouble: %v", r.Trouble)
	return r
}

// Listen listens on a free loopback port.
func Listen() net.Listener {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		CannotRun("listen: %v", err)
	}
	return ln
}

// Serve serves a handler on a free loopback port and returns its address.
func Serve(h http.Handler) string {
	ln := Listen()
	go func() { _ = http.Serve(ln, h) }()
	return ln.Addr().String()
}

// CannotRun ends the program because the case cannot run.
func CannotRun(format string, args ...any) {
	log.Printf("cannot run: "+format, args...)
	os.Exit(2)
}

// Note writes a line to the record.
func (r *Rig) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), strings.TrimRight(fmt.Sprintf(format, args...), "\n"))
}

// End ends all routers and the program: with 1 if the rule was broken, 0 if it held.
func (r *Rig) End(broken bool, why string) {
	r.Note("rule broken: %v: %s", broken, why)
	r.stopAll()
	fmt.Printf("rule broken: %v: %s\n", broken, why)
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

// Abandon ends all routers and the program with 2.
func (r *Rig) Abandon(format string, args ...any) {
	r.Note("the case could not run: "+format, args...)
	r.stopAll()
	CannotRun(format, args...)
}

func (r *Rig) stopAll() {
	for _, router := range r.routers {
		router.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs in", r.dir)
	}
}

// AddRouter starts a router in a zone and does not wait until it is ready.
func (r *Rig) AddRouter(zone string) *Router {
	n := len(r.routers)
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()/250%60, 1+os.Getpid()%250, 1+n)
	seed := ip
	if n > 0 {
		seed = r.routers[0].IP
	}
	x := &Router{
		Name: fmt.Sprintf("front-%s-%d", zone, n+1), IP: ip, Front: ip + ":8783", Ready: ip + ":8780",
		rig: r, path: filepath.Join(r.dir, fmt.Sprintf("router%d.toml", n)),
	}
	text := fmt.Sprintf(settingsText, x.Name, ip, zone, fmt.Sprintf("%q", seed+":8785"), r.storeAddr)
	if err := os.WriteFile(x.path, []byte(text), 0o600); err != nil {
		r.Abandon("write settings: %v", err)
	}
	r.routers = append(r.routers, x)
	x.Start()
	return x
}

// Start starts the router's process with the command of the deploy file.
func (x *Router) Start() {
	x.mu.Lock()
	defer x.mu.Unlock()
	cmd := exec.Command("target/jujubeford", "gateway", "-metrics-port", "7401")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + x.rig.dir, "LANG=C", "JUJUBEFORD_SETTINGS=" + x.path}
	out, err := os.OpenFile(x.path+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		x.rig.Abandon("open a log: %v", err)
	}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		CannotRun("start a router (build target/ first): %v", err)
	}
	x.cmd, x.done = cmd, make(chan struct{})
	x.rig.Note("%s starts", x.Name)
	go func(done chan struct{}) {
		err := cmd.Wait()
		x.rig.Note("%s has ended: %v", x.Name, err)
		out.Close()
		close(done)
	}(x.done)
}

// Pid returns the id of the router's process.
func (x *Router) Pid() int { return x.cmd.Process.Pid }

// ProcessorTime is what the router's process has used, which the platform bills.
func (x *Router) ProcessorTime() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", x.Pid()))
	if err != nil {
		return 0
	}
	var user, system int
	fields := strings.Fields(string(text))
	if len(fields) < 15 {
		return 0
	}
	_, _ = fmt.Sscan(fields[13]+" "+fields[14], &user, &system) // numbers, in hundredths of a second
	return time.Duration(user+system) * 10 * time.Millisecond
}

// Signal sends a signal to the router's process.
func (x *Router) Signal(s syscall.Signal) {
	x.rig.Note("signal %v to %s", s, x.Name)
	_ = x.cmd.Process.Signal(s)
}

// Kill ends the router's process and waits for its end.
func (x *Router) Kill() {
	_ = x.cmd.Process.Kill()
	<-x.done
}

// Ended reports whether the router's process has ended.
func (x *Router) Ended() bool {
	select {
	case <-x.done:
		return true
	default:
		return false
	}
}

// IsReady reports whether the readiness check gets a 200.
func (x *Router) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + x.Ready + "/-/readiness")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// AwaitReady waits until all routers are ready and then for the stable window.
func (r *Rig) AwaitReady() {
	end := time.Now().Add(20 * time.Second)
	for _, x := range r.routers {
		for !x.IsReady() {
			if time.Now().After(end) {
				r.Abandon("%s is not ready", x.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3500 * time.Millisecond)
	r.Note("all routers are ready")
}

// Config writes the operator's configuration. Each route is a JSON object.
func (r *Rig) Config(version int, routes []string, services []string) {
	text := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":10000,"tokensPerS":100000},"tenants":[{"name":"org","apiKeys":["key"]}]}`,
		version, strings.Join(routes, ","), strings.Join(services, ","))
	rev := r.Store.Put("op/config", []byte(text))
	r.Note("op/config version %d written, revision %d", version, rev)
}

// Register writes a replica's entry.
func (r *Rig) Register(id, service, addr, zone, state string, slots int, born int64) {
	rev := r.Store.Put("servers/"+id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":1,"slots":%d,"state":%q,"coldLeftMs":0,"seqNo":1,"born":%d}`,
		service, addr, zone, slots, state, born))
	r.Note("entry of %s: %s, revision %d", id, state, rev)
}
