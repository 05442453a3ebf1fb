package prepared

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Names in the configuration of a Deployment.
const (
	ServiceName = "desk"
	Host        = "desk.example"
	Key         = "k3y0000000000000001"
	Attempts    = 3
)

// Queues are the queues of a Deployment; the first one is urgent.
var Queues = []string{"quote", "plan"}

// leaseMax is the holdMaxMs of a Deployment.
const leaseMax = 6 * time.Second

// clockLag is by how much of the time the clocks of some backend servers are slow.
const clockLag = 0.02

// VM is the platform's side of one VM.
type VM struct {
	Node, Zone   string
	Front, Ready string // IP:port
	SettingsPath string
	peerAddress  string
	relays       map[string]*Relay // by the zone of the VM that calls

	storeMu      sync.Mutex
	storeAddress string
	closeStore   func()        // ends the serving of the store at storeAddress
	storeCalls   *atomic.Int64 // at storeAddress
}

// Deployment is a small deployment on loopback. Its VMs run as processes that the caller starts with
// their settings files.
type Deployment struct {
	Network *Network
	Store   *Store
	Record  *Record
	Gangs   *Gangs
	Zones   []string
	VMs     []*VM
	Servers []*Server

	ctx     context.Context // ends the deployment
	dir     string
	mu      sync.Mutex
	version int
	extra   Extra
	dropped []Extra // oldest first
}

// Extra is what only one version of the configuration holds: a further key of the tenant, and a further route.
type Extra struct {
	Key, Queue string
	// DroppedAt is when the store had acknowledged the next version; zero while this one is in force.
	DroppedAt time.Time
}

// NewDeployment starts the store and the backend servers and writes the settings files of the VMs into
// dir. All of it ends with ctx.
func NewDeployment(ctx context.Context, dir string, zones, vmsPerZone, serversPerZone int) (*Deployment, error) {
	d := &Deployment{Network: NewNetwork(), Record: newRecord(), ctx: ctx, dir: dir, version: 1}
	d.Store, d.Gangs = NewStore(d.Network, d.rewrite), newGangs(d.Network)
	for z := range zones {
		d.Zones = append(d.Zones, fmt.Sprintf("zone-%c", 'a'+z))
	}
	for i := range zones * serversPerZone {
		s := &Server{id: fmt.Sprintf("i-%08x", 0x1000+i), Zone: d.Zones[i%zones], Rack: fmt.Sprintf("r1-%d", 1+i%zones), LeaseMax: leaseMax}
		if i%4 == 2 {
			s.ClockLag = clockLag
		}
		if err := StartServer(ctx, s, d.Network, d.Store, d.Record, d.Gangs, d.Zones); err != nil {
			return nil, err
		}
		d.Servers = append(d.Servers, s)
	}
	for i := range zones * vmsPerZone {
		v, err := d.newVM(ctx, fmt.Sprintf("front-%s-%d", d.Zones[i%zones], 1+i/zones), d.Zones[i%zones])
		if err != nil {
			return nil, err
		}
		d.VMs = append(d.VMs, v)
	}
	return d, d.Configure()
}

// Configure puts the next version of the configuration into force. Each version has a key and a route that no other one has, and
// time-outs change.
func (d *Deployment) Configure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version += 2
	next := Extra{Key: fmt.Sprintf("k3y%016d", d.version), Queue: fmt.Sprintf("extra%d", d.version)}
	var routes []any
	for priority, name := range append(slices.Clone(Queues), next.Queue) {
		routes = append(routes, map[string]any{
			"name": name, "host": Host, "pathPrefix": "/" + name + "/", "type": "non_idempotent", "timeoutMs": 3000 + 500*(d.version%3), "targetLatencyMs": 1200,
			"priority": priority, "service": ServiceName, "attempts": Attempts, "stretch": 3.0, "public": false,
		})
	}
	config, err := json.Marshal(map[string]any{
		"version": d.version, "routes": routes,
		"services": []any{map[string]any{"name": ServiceName, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": true}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "tenant-a", "apiKeys": []string{Key, next.Key}, "priority": 1, "guaranteed": map[string]int{"gpu": accelerators}}},
	})
	if err != nil {
		return err
	}
	d.Store.Put("op", "config", config)
	if d.extra.Key != "" {
		d.extra.DroppedAt = time.Now()
		d.dropped = append(d.dropped, d.extra)
	}
	d.extra = next
	return nil
}

// Extras returns what only the version in force has, and what only earlier ones had, oldest first.
func (d *Deployment) Extras() (present Extra, dropped []Extra) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.extra, slices.Clone(d.dropped)
}

const (
	lowestPort, highestPort = 12000, 31000 // below those that the kernel gives to outgoing connections
	portAttempts            = 1000
)

// given holds the ports that freePorts has returned.
var given = struct {
	sync.Mutex
	ports map[int]bool
}{ports: make(map[int]bool)}

// EvacuationBound is how long after Evacuate a VM may still start tasks in the zone.
const EvacuationBound = 5 * time.Second

// Evacuate requests that nothing more is started in a zone, until TakeBack.
func (d *Deployment) Evacuate(zone string) { d.Store.Put("op", "evacuate/"+zone, []byte("{}")) }

// TakeBack ends an evacuation.
func (d *Deployment) TakeBack(zone string) { d.Store.Put("op", "evacuate/"+zone, nil) }

// freePorts returns the first of n adjacent ports that are free for connections and datagrams.
func freePorts(n int) (int, error) {
	given.Lock()
	defer given.Unlock()
	for range portAttempts {
		first := lowestPort + rand.IntN(highestPort-lowestPort)
		if !free(first, n) {
			continue
		}
		for p := first; p < first+n; p++ {
			given.ports[p] = true
		}
		return first, nil
	}
	return 0, fmt.Errorf("no %d adjacent free ports", n)
}

func free(first, n int) bool {
	for p := first; p < first+n; p++ {
		address := loopback(p)
		if given.ports[p] {
			return false
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func (d *Deployment) newVM(ctx context.Context, node, zone string) (*VM, error) {
	v := &VM{Node: node, Zone: zone, SettingsPath: fmt.Sprintf("%s/%s.conf", d.dir, node), relays: make(map[string]*Relay)}
	first, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	v.peerAddress, v.Front, v.Ready = loopback(first), loopback(first+2), loopback(first+3)
	for _, from := range d.Zones {
		if v.relays[from], err = NewRelay(ctx, d.Network, from, zone, v.peerAddress); err != nil {
			return nil, err
		}
	}
	if _, err := d.serveStore(v); err != nil {
		return nil, err
	}
	lines := []string{
		"node=" + node, "role=scheduler", "machineClass=front", "serves=front", "ip=127.0.0.1", "zone=" + zone, "region=" + zone,
		"listen.front=" + v.Front, "listen.ready=" + v.Ready, fmt.Sprintf("portRange=%d,%d", first, first+1), "bootstrap=true",
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0",
		"heartbeatMs=1500", "orders=rpc", storeSetting + v.storeAddress, "platform.form=log",
		"bounds.drainMs=2500", fmt.Sprintf("bounds.evacuateMs=%d", EvacuationBound.Milliseconds()), "bounds.graceS=6", "bounds.revokeMs=5000", fmt.Sprintf("bounds.holdMaxMs=%d", leaseMax.Milliseconds()),
		"bounds.stopTimeoutMs=200", fmt.Sprintf("bounds.gangTimeoutMs=%d", gangTimeout.Milliseconds()), "bounds.cancel_ms=3000", "bounds.status_s=120", "bounds.fencing=true",
	}
	return v, os.WriteFile(v.SettingsPath, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

const storeSetting = "platform.address="

// serveStore serves the store to a VM at a new address. What it returns ends the serving at the previous one.
func (d *Deployment) serveStore(v *VM) (closePrevious func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	calls, handler := new(atomic.Int64), d.Store.Handler(v.Node, v.Zone)
	h := &http.Server{ConnContext: noteOpened, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		handler.ServeHTTP(w, r)
	})}
	go func() { _ = h.Serve(l) }() // ends when it is closed
	stop := context.AfterFunc(d.ctx, func() { _ = h.Close() })
	closePrevious, v.storeCalls = v.closeStore, calls
	v.storeAddress, v.closeStore = l.Addr().String(), func() {
		stop()
		_ = h.Close()
	}
	return closePrevious, nil
}

// MoveStore serves the store to a VM at another address, which its settings file names then. The previous address serves until the
// returned function is called.
func (d *Deployment) MoveStore(v *VM) (closePrevious func(), err error) {
	v.storeMu.Lock()
	defer v.storeMu.Unlock()
	old := v.storeAddress
	if closePrevious, err = d.serveStore(v); err != nil {
		return nil, err
	}
	settings, err := os.ReadFile(v.SettingsPath)
	if err != nil {
		return nil, err
	}
	changed := strings.Replace(string(settings), storeSetting+old+"\n", storeSetting+v.storeAddress+"\n", 1)
	if changed == string(settings) {
		return nil, fmt.Errorf("%s does not name the store's address", v.SettingsPath)
	}
	next := v.SettingsPath + ".next"
	return closePrevious, errors.Join(os.WriteFile(next, []byte(changed), 0o600), os.Rename(next, v.SettingsPath))
}

// StoreCalls counts the VM's calls at the store's present address.
func (v *VM) StoreCalls() int64 {
	v.storeMu.Lock()
	defer v.storeMu.Unlock()
	return v.storeCalls.Load()
}

// rewrite gives readers in each zone the addresses of their side of the network.
func (d *Deployment) rewrite(topic, key string, value []byte, zone string) []byte {
	var m map[string]any
	if topic == "op" || topic == "submissions" || json.Unmarshal(value, &m) != nil {
		return value
	}
	switch {
	case topic == "servers":
		for _, s := range d.Servers {
			if s.hasID(key) {
				m["address"] = s.Address(zone)
			}
		}
	case m["address"] != nil: // a VM's announcement, or a claim of the term
		for _, v := range d.VMs {
			if m["node"] == v.Node {
				m["address"], m["forward"] = v.relays[zone].Address, v.relays[zone].Address
			}
		}
	default:
		return value
	}
	changed, err := json.Marshal(m)
	if err != nil {
		return value
	}
	return changed
}
