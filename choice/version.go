// Package choice selects the version and the endpoint of a request.
package choice

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/rollout"
	"github.com/parsleydeal/parsleydeal/table"
)

// SelectVersion selects a version of a model by a hash and the versions' shares, so that all
// processes together keep to the shares without shared state. If that version is withdrawn or held
// for the organisation, a second hash selects among the remaining versions. Requests whose hash
// selects another version are not affected. SelectVersion returns "" if no version is left.
func SelectVersion(t *table.Tables, holds *rollout.Holds, m table.RouteModel, organisation string, hash uint64) (version string) {
	usable := func(version string) bool {
		return !t.Versions[version].Withdrawn && !holds.Held(version, organisation)
	}
	version = versionAtHash(m, hash, func(string) bool { return true })
	if version != "" && usable(version) {
		return version
	}
	return versionAtHash(m, rehash(hash), usable)
}

// rehash returns a second hash. It is independent of the version that the first hash selected.
func rehash(hash uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], hash)
	return xxhash.Sum64(b[:])
}

// versionAtHash selects one of the versions that the filter accepts. Their shares divide the range
// of hashes among them, and the version in whose part the hash lies is selected; "" if the filter
// accepts none.
func versionAtHash(m table.RouteModel, hash uint64, accept func(version string) bool) (version string) {
	numbers := make([]string, 0, len(m.Shares))
	sum := 0.0
	for number, share := range m.Shares {
		if share > 0 && accept(table.VersionName(m.Model, number)) {
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
