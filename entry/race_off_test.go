//go:build !race

package entry

const raceEnabled = false
