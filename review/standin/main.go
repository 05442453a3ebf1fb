// Command standin plays one case of the review: it starts the scheduler's processes on loopback, plays
// the platform's store, the workers and the clients for them, and judges what these have seen.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service = "desk"
	host    = "desk.example"
	apiKey  = "k3y0000000000000001"
	// otherKey is that of a tenant that has no guarantee.
	otherKey = "k3y0000000000000002"

	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// journal writes record.txt.
type journal struct {
	mu    sync.Mutex
	began time.Time
	out   io.Writer
}

func (j *journal) add(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = fmt.Fprintf(j.out, "%8.3f "+format+"\n", append([]any{time.Since(j.began).Seconds()}, args...)...) // a full disk shows in the record
}

var cleanUp []func()

func exit(code int) {
	for i := len(cleanUp) - 1; i >= 0; i-- {
		cleanUp[i]()
	}
	os.Exit(code)
}

// fatal ends the script as one that could not run.
func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	exit(exitNotRun)
}

// vm is one process of the scheduler.
type vm struct {
	name         string
	front, ready string
	settings     string
	log          string
	process      *exec.Cmd
}

// deployment is a small deployment on loopback.
type deployment struct {
	dir     string
	log     *journal
	store   *store
	workers []*worker
	vms     []*vm
	client  *http.Client
	trouble bool
	advisor string // address of the service that knows the queues' policies; may be empty
	key     string // of the tenant whose calls are sent
}

// taken are the ports that were given out.
var taken = make(map[int]bool)

// freePorts returns the first of n adjacent ports that are free for connections and datagrams. They lie
// below the range from which the kernel takes the ports of outgoing connections, and scripts that run at
// the same time mostly take them from different blocks.
func freePorts(n int) int {
	const lowest, blocks, block = 12000, 200, 100
	for i := range 1000 {
		first := lowest + os.Getpid()%blocks*block + rand.IntN(block-n)
		if i >= 500 {
			first = lowest + rand.IntN(blocks*block)
		}
		if free(first, n) {
			for i := range n {
				taken[first+i] = true
			}
			return first
		}
	}
	fatal("no free ports")
	return 0
}

func free(first, n int) bool {
	for p := first; p < first+n; p++ {
		if taken[p] {
			return false
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			return false
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

// newDeployment starts the store, workers and VMs, and waits until all VMs are ready.
func newDeployment(dir string, out io.Writer, routes []map[string]any, workers, vms int) *deployment {
	d := &deployment{
		dir: dir, log: &journal{began: time.Now(), out: out}, store: newStore(),
		client: &http.Client{Timeout: 4 * time.Second}, trouble: os.Getenv("TROUBLE") != "0", key: apiKey,
	}
	d.log.add("trouble: %v", d.trouble)
	config, err := json.Marshal(map[string]any{
		"version": 3, "routes": routes,
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": true, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "tenant-a", "apiKeys": []string{apiKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 8}},
			map[string]any{"name": "tenant-b", "apiKeys": []string{otherKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 0}}},
	})
	if err != nil {
		fatal("configuration: %v", err)
	}
	d.store.put("keyed.op", "config", config)
	for i := range workers {
		w := newWorker(fmt.Sprintf("i-%08x", 0x5f1a0000+i), "a", fmt.Sprintf("r1-%d", 1+i/8), 8, d.store, d.log)
		d.workers = append(d.workers, w)
	}
	for i := range vms {
		d.vms = append(d.vms, d.newVM(i))
	}
	return d
}

func route(name string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": "/" + name + "/", "type": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 1200,
		"priority": priority, "service": service, "attempts": attempts, "stretch": 3.0, "public": false,
	}
}

// newVM writes the settings of a VM in one of three zones.
func (d *deployment) newVM(i int) *vm {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", freePorts(1)))
	if err != nil {
		fatal("store: %v", err)
	}
	go func() { _ = http.Serve(l, d.store.handler(i)) }() // serves until the script ends
	zone := string(rune('a' + i%3))
	v := &vm{name: fmt.Sprintf("front-zone-%s-%d", zone, 1+i/3)}
	v.front, v.ready = fmt.Sprintf("127.0.0.1:%d", freePorts(1)), fmt.Sprintf("127.0.0.1:%d", freePorts(1))
	first := freePorts(2)
	v.settings, v.log = filepath.Join(d.dir, v.name+".conf"), filepath.Join(d.dir, v.name+".log")
	lines := []string{
		"node=" + v.name, "role=scheduler", "machineClass=front", "serves=front", "ip=127.0.0.1", "zone=zone-" + zone, "region=region-" + zone,
		"zones.zone-a=region-a", "zones.zone-b=region-b", "zones.zone-c=region-c",
		"listen.front=" + v.front, "listen.ready=" + v.ready, fmt.Sprintf("portRange=%d,%d", first, first+1), "bootstrap=true",
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0",
		"discovery=platform", "entry=vip", "heartbeatMs=1500", "orders=rpc", "advice=" + d.advisor, "platform.address=" + l.Addr().String(), "platform.form=log",
		"bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.drainMs=2500", "bounds.graceS=6", "bounds.configApplyMs=2500", "bounds.strictRevoke=true",
		"bounds.revokeMs=5000", "bounds.holdMaxMs=6000", "bounds.stopTimeoutMs=200", "bounds.gangTimeoutMs=3000", "bounds.cancel_ms=3000",
		"bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.fencing=true", "bounds.reclaimMs=2700",
	}
	if err := os.WriteFile(v.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		fatal("settings: %v", err)
	}
	return v
}

// serveAdvice starts the service that knows the queues' policies, and names it in the VMs' settings.
func (d *deployment) serveAdvice(h http.HandlerFunc) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", freePorts(1)))
	if err != nil {
		fatal("advice: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", h)
	go func() { _ = http.Serve(l, mux) }() // serves until the script ends
	d.advisor = l.Addr().String()
	for i := range d.vms {
		d.vms[i] = d.newVM(i)
	}
}

// start starts the workers and the VMs with the command of deploy/system.toml.
func (d *deployment) start() {
	for _, w := range d.workers {
		w.Start()
	}
	for _, v := range d.vms {
		d.startVM(v)
	}
	for _, v := range d.vms {
		d.waitReady(v)
	}
	time.Sleep(2 * time.Second) // the holder takes the term and asks the workers
}

func (d *deployment) startVM(v *vm) {
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("log: %v", err)
	}
	v.process = exec.Command("target/eelgrassreach", "fleet")
	v.process.Env = append(os.Environ(), "EELGRASSREACH_SETTINGS="+v.settings)
	v.process.Stdout, v.process.Stderr = out, out
	// The kernel kills the process if this one ends without doing so.
	v.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.process.Start(); err != nil {
		fatal("cannot start the scheduler: %v", err)
	}
	cleanUp = append(cleanUp, func() {
		_ = v.process.Process.Kill()
		_ = v.process.Wait()
	})
	d.log.add("VM %s started, front %s", v.name, v.front)
}

func (d *deployment) waitReady(v *vm) {
	for range 150 {
		if resp, err := d.client.Get("http://" + v.ready + "/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	fatal("VM %s is not ready", v.name)
}

// call sends a client's call to a VM and returns the status, 0 without an answer, and the body.
func (d *deployment) call(v *vm, method, path, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+v.front+path, bytes.NewBufferString(body))
	if err != nil {
		fatal("call: %v", err)
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+d.key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", "3000")
	resp, err := d.client.Do(request)
	if err != nil {
		d.log.add("client: %s %s at %s: no answer", method, path, v.name)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	d.log.add("client: %s %s at %s: %d %s", method, path, v.name, resp.StatusCode, text)
	return resp.StatusCode, string(text)
}

// submit hands a job in until it is accepted, as a client does that asks again after no answer.
func (d *deployment) submit(queue, id string, tasks int, s spec, more string) {
	d.submitEstimated(queue, id, tasks, s, time.Duration(s.RunMs)*time.Millisecond, more)
}

func (d *deployment) submitEstimated(queue, id string, tasks int, s spec, estimate time.Duration, more string) {
	text, err := json.Marshal(s)
	if err != nil {
		fatal("spec: %v", err)
	}
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":1000,"memMb":256,"gpu":1,"estRuntimeMs":%d%s}]}`, text, tasks, estimate.Milliseconds(), more)
	for i := range 10 {
		if status, _ := d.call(d.vms[i%len(d.vms)], http.MethodPost, "/"+queue+"/"+id, body); status == http.StatusOK {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	fatal("job %s was not accepted", id)
}

// state asks a VM for the state of a job.
func (d *deployment) state(v *vm, queue, id string) string {
	status, body := d.call(v, http.MethodGet, "/"+queue+"/"+id, "")
	if status == http.StatusGone {
		return "410"
	}
	var m struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &m) != nil {
		return ""
	}
	return m.State
}

// worker returns the worker with this ID.
func (d *deployment) worker(id string) *worker {
	for _, w := range d.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		dir = keep
	} else {
		cleanUp = append(cleanUp, func() { _ = os.RemoveAll(dir) })
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		fatal("interrupted")
	}()
	time.AfterFunc(115*time.Second, func() { fatal("the case took too long") })
	exit(play(dir, out))
}
