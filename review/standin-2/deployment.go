package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Names in the configuration.
const (
	serviceName = "desk"
	host        = "desk.example"
	key         = "k3y0000000000000001"
	queuePath   = "/plan/"
	tenant      = "tenant-a"
)

// The kinds of backend servers.
const (
	commonKind = "a"
	rareKind   = "b" // of those that options.labelled counts
)

// options is the size of a deployment.
type options struct {
	servers  int
	labelled int
}

// frontZones are the zones of the VMs, and thirds of the backend servers are in each zone.
var frontZones = []string{"harju-a", "harju-a", "harju-a", "tartu-a", "tartu-a", "parnu-a"}

// program is the program of the deploy file's build, relative to the root of the repository.
const program = "target/eelgrassreach"

// memoryMB is what a process of a VM may take.
const memoryMB = 284

// machine is a VM and its process.
type machine struct {
	node, front, ready string
	settings           string
	log                *os.File
	process            *exec.Cmd
	ended              chan struct{}
}

// deployment is six VMs in three zones, a store and backend servers.
type deployment struct {
	record   *record
	store    *store
	workers  []*worker
	orders   orderCount
	machines []*machine
	dir      string
	stopped  chan struct{}
	client   *http.Client
}

func startDeployment(r *record, o options) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, dir: dir, stopped: make(chan struct{}), client: &http.Client{Timeout: 4 * time.Second}}
	if d.store, err = startStore(); err != nil {
		return d, err
	}
	zones := []string{"harju-a", "tartu-a", "parnu-a"}
	for i := range o.servers {
		z := i % len(zones)
		w := &worker{id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), zone: zones[z], rack: fmt.Sprintf("r%d-%d", z+1, 1+i/(8*len(zones))), store: d.store, record: r, orders: &d.orders}
		kind := commonKind
		if i < o.labelled {
			kind = rareKind
		}
		if err := w.start(kind, time.Duration(rand.IntN(300))*time.Millisecond); err != nil {
			return d, err
		}
		d.workers = append(d.workers, w)
	}
	go d.expireEntries()
	d.configure()
	for i, zone := range frontZones {
		m, err := d.newMachine(fmt.Sprintf("front-%s-%d", zone, i+1), zone)
		if err != nil {
			return d, err
		}
		d.machines = append(d.machines, m)
		if err := m.start(); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady()
}

func (d *deployment) expireEntries() {
	for {
		select {
		case <-d.stopped:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, w := range d.workers {
			w.expire()
		}
	}
}

func (d *deployment) configure() {
	d.store.put("op", "config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "plan", "host": host, "pathPrefix": queuePath, "type": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 1200,
			"priority": 1, "service": serviceName, "attempts": 3, "stretch": 3.0, "public": false,
		}},
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": true, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "apiKeys": []string{key}, "priority": 1, "guaranteed": map[string]int{"gpu": 8}}},
	})
}

// newMachine writes the settings file of a VM; its values are those of the phk-ladu deployment.
func (d *deployment) newMachine(node, zone string) (*machine, error) {
	first, err := freePorts(5)
	if err != nil {
		return nil, err
	}
	m := &machine{node: node, front: loopback(first), ready: loopback(first + 1), settings: filepath.Join(d.dir, node+".conf")}
	region := strings.TrimSuffix(zone, "-a")
	text := strings.Join([]string{
		"node=" + node, "role=scheduler", "machineClass=front", "serves=front", "ip=127.0.0.1", "zone=" + zone, "region=" + region,
		"zones.harju-a=harju", "zones.tartu-a=tartu", "zones.parnu-a=parnu",
		"listen.front=" + m.front, "listen.ready=" + m.ready, fmt.Sprintf("portRange=%d,%d", first+2, first+4), "seeds=", "bootstrap=true", "faultCounted=false",
		"limits.cpuShare=0.4", "limits.cores=1", fmt.Sprintf("limits.memoryMb=%d", memoryMB), "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=vip", "heartbeatMs=1500", "orders=rpc",
		"contracts=base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing",
		"bounds.seedLagS=3", "bounds.addrReuseS=2", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2500", "bounds.graceS=6",
		"bounds.lossSlackMs=200", "bounds.configApplyMs=2500", "bounds.rollbackSlackMs=250", "bounds.maxSkewMs=5000", "bounds.strictRevoke=true", "bounds.revokeMs=5000",
		"bounds.recoveryS=12", "bounds.holdMaxMs=10000", "bounds.stopTimeoutMs=200", "bounds.gangTimeoutMs=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
		"bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.farFactor=3", "bounds.checkpointS=1", "bounds.restoreMs=100", "bounds.noticeMs=4500",
		"bounds.moveS=1.5", "bounds.upkeepS=2", "bounds.fencing=true", "bounds.leaseMs=3000", "bounds.thawSlackMs=300", "bounds.paceMs=100", "bounds.harmMs=4000", "bounds.reclaimMs=2700",
		"platform.address=" + d.store.address, "platform.form=log", "platform.writesPerS=600", "platform.readsPerS=2000", "platform.parts=8", "platform.appendMs=4.0",
		"platform.partMbS=20.0", "platform.readMbS=80.0", "platform.recordBytes=262144", "platform.callBytes=2097152", "platform.keep_s=300", "platform.partMb=200", "platform.ttlMinMs=1000",
	}, "\n")
	return m, os.WriteFile(m.settings, []byte(text+"\n"), 0o600)
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	f, err := os.OpenFile(m.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.log = f
	m.process = exec.Command(program, "fleet")
	m.process.Env = append(os.Environ(), "EELGRASSREACH_SETTINGS="+m.settings)
	m.process.Stdout, m.process.Stderr = f, f
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	m.ended = make(chan struct{})
	go func() {
		_ = m.process.Wait() // it is ended by signals
		close(m.ended)
	}()
	return nil
}

// kill ends the process at once.
func (m *machine) kill() {
	if m.process != nil && m.process.Process != nil {
		_ = m.process.Process.Kill() // fails if it has ended
		<-m.ended
	}
}

// largestMemoryMB is what the largest of the VM processes takes.
func (d *deployment) largestMemoryMB() int {
	largest := 0
	for _, m := range d.machines {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
		if err != nil {
			continue // it has ended
		}
		for line := range strings.Lines(string(text)) {
			var kB int
			if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kB); err == nil {
				largest = max(largest, kB/1024)
			}
		}
	}
	return largest
}

// awaitReady waits until all VMs are ready and the traffic may begin.
func (d *deployment) awaitReady() error {
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range d.machines {
			resp, err := d.client.Get("http://" + m.ready + "/ready")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.machines) && time.Since(began) > 4*time.Second {
			d.record.note("all %d VMs are ready", ready)
			return nil
		}
	}
	return errors.New("the VMs did not become ready")
}

// stop ends all processes and removes the temporary folder, unless KEEP_LOGS names a folder for the logs.
func (d *deployment) stop() {
	close(d.stopped)
	for _, m := range d.machines {
		m.kill()
	}
	for _, w := range d.workers {
		w.mu.Lock()
		server := w.server
		w.incarnation = 0
		w.mu.Unlock()
		if server != nil {
			_ = server.Close()
		}
	}
	if d.store != nil {
		_ = d.store.server.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, m := range d.machines {
			if text, err := os.ReadFile(m.settings + ".log"); err == nil {
				_ = os.WriteFile(filepath.Join(keep, m.node+".log"), text, 0o600)
			}
		}
	}
	_ = os.RemoveAll(d.dir)
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// given holds the ports that freePorts has returned.
var given = make(map[int]bool)

// freePorts returns the first of n adjacent ports that are free for connections and datagrams.
func freePorts(n int) (int, error) {
	for range 1000 {
		first := 12000 + rand.IntN(19000)
		free := true
		for p := first; p < first+n && free; p++ {
			free = !given[p] && isFree(p)
		}
		if free {
			for p := first; p < first+n; p++ {
				given[p] = true
			}
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

func isFree(port int) bool {
	l, err := net.Listen("tcp", loopback(port))
	if err != nil {
		return false
	}
	_ = l.Close()
	u, err := net.ListenPacket("udp", loopback(port))
	if err != nil {
		return false
	}
	_ = u.Close()
	return true
}
