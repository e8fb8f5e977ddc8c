// Package choice picks the version and the endpoint of a request.
package choice

import (
	"cmp"
	"slices"

	"github.com/parsleydeal/parsleydeal/table"
)

// Version picks the cheapest model of a route whose quality meets the target
// and, within it, the version that the request's hash falls on. Ok is false
// when nothing meets the target.
func Version(t *table.Tables, r table.Route, hash uint64) (version string, ok bool) {
	models := slices.Clone(r.Models)
	slices.SortStableFunc(models, func(a, b table.RouteModel) int {
		return cmp.Compare(costOf(t, a), costOf(t, b))
	})
	for _, m := range models {
		version = Share(t, m, hash)
		if version != "" && t.Versions[version].Quality >= r.QualityTarget {
			return version, true
		}
	}
	return "", false
}

func costOf(t *table.Tables, m table.RouteModel) (cost float64) {
	for number, share := range m.Shares {
		v := t.Versions[table.VersionName(m.Model, number)]
		cost += share * float64(v.InputCost+v.OutputCost)
	}
	return cost
}

// Share picks the version of a model on which a hash falls, so that shares hold
// over all processes without shared state. Withdrawn versions are left out. It
// returns "" when none is left.
func Share(t *table.Tables, m table.RouteModel, hash uint64) (version string) {
	numbers := make([]string, 0, len(m.Shares))
	sum := 0.0
	for number, share := range m.Shares {
		if share > 0 && !t.Versions[table.VersionName(m.Model, number)].Withdrawn {
			numbers = append(numbers, number)
			sum += share
		}
	}
	slices.Sort(numbers)
	point := float64(hash>>11) / (1 << 53) * sum
	for _, number := range numbers {
		version = table.VersionName(m.Model, number)
		point -= m.Shares[number]
		if point < 0 {
			return version
		}
	}
	return version
}
