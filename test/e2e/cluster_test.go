package e2e

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/api"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/standin"
)

const (
	kindQuote = "quote" // an idempotent request kind
	kindOrder = "order" // a request kind that needs a ticket

	organisation = model.OrganisationID("desk")
	portAttempts = 5
	probeTimeout = 500 * time.Millisecond
)

// vm is one running VM, with a client that is connected to it directly. Other VMs reach
// it through peerLink; it reaches the platform through the platform link of its zone.
type vm struct {
	*process
	zone     model.AZ
	listen   string
	peerLink *relay
	client   *api.Client
}

// backend is one running stand-in backend server.
type backend struct {
	*process
	id      model.BackendServerID
	zone    model.AZ
	address string
	url     string
}

// zoneSize is the number of VMs and backend servers of one availability zone.
type zoneSize struct {
	name     model.AZ
	vms      int
	backends int
}

// cluster is a whole system: the platform, VMs and backend servers.
type cluster struct {
	platformURL   string
	platformLinks map[model.AZ]*relay // each zone's link to the platform
	vms           []*vm
	backends      []*backend
}

// startCluster starts a system, publishes its configuration and waits until every
// availability zone has a term holder and every VM sees all backend servers of its zone
// as live.
func startCluster(t *testing.T, zones ...zoneSize) *cluster {
	t.Helper()
	c := &cluster{platformLinks: make(map[model.AZ]*relay)}
	_, address := startStandin(t, "platform", "platform")
	c.platformURL = "http://" + address
	for _, z := range zones {
		c.platformLinks[z.name] = newRelay(t, address)
		for n := range z.backends {
			c.startBackend(t, z.name, n)
		}
		for n := range z.vms {
			c.startVM(t, z.name, n)
		}
	}
	c.awaitStatus(t, c.vms, "ready", func(s api.StatusReply) bool { return s.Ready })
	c.publish(t, c.vms[0], "setup", c.records()...)
	for _, z := range zones {
		c.awaitHolder(t, z.name, c.inZone(z.name))
		c.awaitStatus(t, c.inZone(z.name), "all backend servers live", func(s api.StatusReply) bool {
			return s.ConfigRevision > 0 && s.Backends.Live >= z.backends
		})
	}
	return c
}

func (c *cluster) startBackend(t *testing.T, az model.AZ, n int) {
	t.Helper()
	id := fmt.Sprintf("%s-%d", az, n)
	p, address := startStandin(t, id, "backend", "-id", id, "-platform", c.platformURL, "-az", string(az))
	c.backends = append(c.backends, &backend{
		process: p, id: model.BackendServerID(id), zone: az, address: address, url: "http://" + address,
	})
}

// startVM starts a VM on a free port. It tries again with another port if the VM ends,
// because another process may have taken the port before the VM listened on it.
func (c *cluster) startVM(t *testing.T, az model.AZ, n int) {
	t.Helper()
	peerLink := newRelay(t, "")
	for try := range portAttempts {
		v := &vm{zone: az, listen: freeAddress(t), peerLink: peerLink}
		peerLink.setTarget(v.listen)
		v.process = startProcess(t, fmt.Sprintf("vm-%s-%d-%d", az, n, try), vmBinary, "serve",
			"-az", string(az), "-region", "region-"+string(az), "-listen", v.listen,
			"-advertise", peerLink.address, "-platform", "http://"+c.platformLinks[az].address, "-drain-notice", "1s")
		v.client = api.NewClient(v.listen)
		if v.awaitServing(t) {
			c.vms = append(c.vms, v)
			c.addToVMList(t, v, ports.VMLive)
			return
		}
	}
	t.Fatal("no free port for the VM")
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// awaitServing waits until the VM listens or has ended. It reports whether the VM runs.
func (v *vm) awaitServing(t *testing.T) bool {
	t.Helper()
	eventually(t, func() string {
		if v.running() && !strings.Contains(v.log(), "msg=serving") {
			return v.name + " does not listen"
		}
		return ""
	})
	return v.running()
}

// ready reports whether a load balancer would send a request to the VM.
func (v *vm) ready() bool {
	client := http.Client{Timeout: probeTimeout}
	resp, err := client.Get("http://" + v.listen + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// addToVMList adds a VM to the platform's VM list.
func (c *cluster) addToVMList(t *testing.T, v *vm, state ports.VMState) {
	t.Helper()
	entry := ports.VMEntry{Address: v.peerLink.address, Role: ports.RoleVM, AZ: v.zone, State: state}
	assert.NilError(t, standin.PutVM(t.Context(), c.platformURL, entry))
}

func (c *cluster) inZone(az model.AZ) []*vm {
	var list []*vm
	for _, v := range c.vms {
		if v.zone == az {
			list = append(list, v)
		}
	}
	return list
}

// awaitStatus waits until the status of each VM meets a condition.
func (c *cluster) awaitStatus(t *testing.T, vms []*vm, name string, holds func(api.StatusReply) bool) {
	t.Helper()
	for _, v := range vms {
		eventually(t, func() string {
			s, err := v.client.Status(t.Context())
			if err != nil {
				return fmt.Sprintf("%s: %v", v.name, err)
			}
			if !holds(s) {
				return fmt.Sprintf("%s: waiting for: %s (%+v)", v.name, name, s)
			}
			return ""
		})
	}
}

// awaitHolder waits until one of the VMs holds the term of an availability zone and
// returns it.
func (c *cluster) awaitHolder(t *testing.T, az model.AZ, among []*vm) *vm {
	t.Helper()
	var found *vm
	eventually(t, func() string {
		for _, v := range among {
			s, err := v.client.Status(t.Context())
			if err != nil {
				continue
			}
			for _, term := range s.Terms {
				if term.AZ == az && term.HeldLocally {
					found = v
					return ""
				}
			}
		}
		return fmt.Sprintf("no VM holds the term of %s", az)
	})
	return found
}

// publish publishes configuration records through a VM and checks that they are accepted.
func (c *cluster) publish(t *testing.T, v *vm, id string, records ...json.RawMessage) {
	t.Helper()
	reply, err := v.client.PutConfig(t.Context(), api.ConfigChangeRequest{ID: id, Records: records})
	assert.NilError(t, err)
	assert.Equal(t, reply.Verdict, "accepted", "%+v", reply)
}

// records returns the configuration of the system: its backend servers, in one rack per
// zone, one organisation of each schema version, and two request kinds.
func (c *cluster) records() []json.RawMessage {
	records := []json.RawMessage{
		json.RawMessage(`{"schemaVersion":1,"type":"requestKind","id":"` + kindQuote + `","class":"urgent","deadline":"8s","idempotent":true}`),
		json.RawMessage(`{"schemaVersion":2,"type":"requestKind","id":"` + kindOrder + `","priorityClass":"normal","deadline":"8s","idempotent":false}`),
		organisationRecord(organisation),
		json.RawMessage(`{"schemaVersion":1,"type":"organisation","id":"guest","maxAccelerators":8,"guarantees":[]}`),
	}
	for _, b := range c.backends {
		records = append(records, json.RawMessage(fmt.Sprintf(`{"schemaVersion":2,"type":"backendServer","id":%q,"address":%q,
			"location":{"az":%q,"region":"region-%s","rack":"%s-r1"},
			"capacity":{"accelerators":8,"slots":8,"connections":64,"cores":32,"memoryMB":65536}}`,
			b.id, b.address, b.zone, b.zone, b.zone)))
	}
	return records
}

func organisationRecord(id model.OrganisationID) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"schemaVersion":2,"type":"organisation","id":%q,"quota":{"accelerators":64},"weight":2,"guarantees":[]}`, id))
}

func (b *backend) setFault(t *testing.T, f standin.Fault) {
	t.Helper()
	assert.NilError(t, standin.PutFault(t.Context(), b.url, f))
}

func (b *backend) record(t *testing.T) standin.BackendRecord {
	t.Helper()
	r, err := standin.GetBackendRecord(t.Context(), b.url)
	assert.NilError(t, err)
	return r
}
