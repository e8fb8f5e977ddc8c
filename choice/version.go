// Package choice picks the version and the endpoint of a request.
package choice

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/rollout"
	"github.com/parsleydeal/parsleydeal/table"
)

// SelectVersion picks the version of a model on which a hash falls, so that shares hold
// over all processes without shared state. A hash that falls on a version that
// is withdrawn or held for the organisation falls a second time, on the others
// alone; all other hashes stay where they were. Share returns "" when no version
// is left.
func SelectVersion(t *table.Tables, holds *rollout.Holds, m table.RouteModel, organisation string, hash uint64) (version string) {
	usable := func(version string) bool {
		return !t.Versions[version].Withdrawn && !holds.Held(version, organisation)
	}
	version = fall(m, hash, func(string) bool { return true })
	if version != "" && usable(version) {
		return version
	}
	return fall(m, again(hash), usable)
}

// again makes a second hash that does not follow from the first one's place.
func again(hash uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], hash)
	return xxhash.Sum64(b[:])
}

// fall returns the version on whose share a hash falls among those that pass.
func fall(m table.RouteModel, hash uint64, pass func(version string) bool) (version string) {
	numbers := make([]string, 0, len(m.Shares))
	sum := 0.0
	for number, share := range m.Shares {
		if share > 0 && pass(table.VersionName(m.Model, number)) {
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
