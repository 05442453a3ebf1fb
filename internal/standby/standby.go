// Package standby decides which VMs follow all records of the store, so that they can answer for
// any job and take the term.
//
// It answers a fleet of hundreds of VMs under one store: if each of them follows everything, what is
// read grows with the VMs times the writes, until the store refuses reads to all of them.
package standby

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// SmallFleet is the largest number of VMs that all follow all records.
const SmallFleet = 8

// VM is a VM as far as the decision needs it.
type VM struct {
	Node     string
	AZ       string
	MilliCPU int
	// Silent is set if the VM has not answered lately although it was asked.
	Silent bool
}

// order sorts the strongest VM first, and those of equal strength pseudorandomly.
func order(a, b VM) int {
	return cmp.Or(cmp.Compare(b.MilliCPU, a.MilliCPU), cmp.Compare(hash(a.Node), hash(b.Node)), cmp.Compare(a.Node, b.Node))
}

func hash(node string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(node)) // a hash's Write never fails
	return h.Sum32()
}

// Choose returns the nodes that the holder of the term names as standbys: all others of a small
// fleet, otherwise the strongest VM of each availability zone that is neither silent nor the holder.
func Choose(vms []VM, holder string) []string {
	sorted := slices.SortedFunc(slices.Values(vms), order)
	var nodes []string
	served := make(map[string]bool)
	for _, v := range sorted {
		switch {
		case v.Node == holder:
		case len(vms) <= SmallFleet:
			nodes = append(nodes, v.Node)
		case !v.Silent && !served[v.AZ]:
			served[v.AZ] = true
			nodes = append(nodes, v.Node)
		}
	}
	return nodes
}

// InZone returns the first n VMs of an availability zone.
func InZone(vms []VM, az string, n int) []string {
	var nodes []string
	for _, v := range slices.SortedFunc(slices.Values(vms), order) {
		if v.AZ == az && len(nodes) < n {
			nodes = append(nodes, v.Node)
		}
	}
	return nodes
}

// Rank returns how many VMs of the node's availability zone come before it when one of them has to
// make itself a replica because none is heard.
func Rank(vms []VM, node string) int {
	var self VM
	for _, v := range vms {
		if v.Node == node {
			self = v
		}
	}
	before := 0
	for _, v := range vms {
		if v.Node != node && v.AZ == self.AZ && order(v, self) < 0 {
			before++
		}
	}
	return before
}
