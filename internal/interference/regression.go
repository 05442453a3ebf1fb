package interference

import (
	"math"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// victim sums up the samples of one kind of work: how the logarithm of its rate changed with the numbers of
// neighbours of each kind.
type victim struct {
	at       time.Time // up to which the sums have faded
	products [maxKinds][maxKinds]float64
	effects  [maxKinds]float64
	squares  float64
	weight   float64 // of all samples
	samples  [maxKinds]float64
	servers  [maxKinds][]model.BackendServerID // minServers at most of each
}

// fade lets older samples count less.
func (v *victim) fade(now time.Time) {
	if !now.After(v.at) {
		return
	}
	f := math.Exp2(-now.Sub(v.at).Seconds() / halfLife.Seconds())
	v.at = now
	for i := range v.products {
		for j := range v.products[i] {
			v.products[i][j] *= f
		}
		v.effects[i] *= f
		v.samples[i] *= f
	}
	v.squares *= f
	v.weight *= f
}

// add adds a sample: x holds the changes by kind, y the change of the logarithm of the rate.
func (v *victim) add(x [maxKinds]float64, y float64, server model.BackendServerID) {
	v.weight++
	v.squares += y * y
	for i, xi := range x {
		if xi == 0 {
			continue
		}
		for j, xj := range x {
			v.products[i][j] += xi * xj
		}
		v.effects[i] += xi * y
		v.samples[i]++
		if len(v.servers[i]) < minServers && !slices.Contains(v.servers[i], server) {
			v.servers[i] = append(v.servers[i], server)
		}
	}
}

// estimate is the change of the logarithm of the rate for one more neighbour, with its standard error.
type estimate struct{ effect, deviation float64 }

// solve estimates the effects of the first n kinds by least squares, drawn towards no effect by the prior.
func (v *victim) solve(n int) []estimate {
	inverse := v.inverse(n)
	list := make([]estimate, n)
	explained := 0.0
	for i := range n {
		for j := range n {
			list[i].effect += inverse[i][j] * v.effects[j]
		}
		explained += list[i].effect * v.effects[i]
	}
	variance := max(v.squares-explained, 0) / max(v.weight-float64(n), 1)
	for i := range n {
		list[i].deviation = math.Sqrt(max(variance*inverse[i][i], minVariance))
	}
	return list
}

// minVariance keeps a perfect fit from counting as certain after a few samples.
const minVariance = 1e-6

// inverse returns the inverse of the first n rows and columns of the products with the prior, by elimination. The
// prior makes the matrix positive definite, so that no pivot is 0.
func (v *victim) inverse(n int) [maxKinds][maxKinds]float64 {
	a := v.products
	var inv [maxKinds][maxKinds]float64
	for i := range n {
		a[i][i] += prior
		inv[i][i] = 1
	}
	for i := range n {
		pivot := a[i][i]
		for j := range n {
			a[i][j] /= pivot
			inv[i][j] /= pivot
		}
		for k := range n {
			if f := a[k][i]; k != i && f != 0 {
				for j := range n {
					a[k][j] -= f * a[i][j]
					inv[k][j] -= f * inv[i][j]
				}
			}
		}
	}
	return inv
}
