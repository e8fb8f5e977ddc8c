package cli

import (
	"testing"

	"github.com/matryer/is"
)

// Scripts that install and watch a site go by exit codes alone.
func TestExitCodesOfTheDaemons(t *testing.T) {
	is := is.New(t)
	for _, daemon := range []func([]string) int{Entry, Endpoint} {
		is.Equal(daemon([]string{"--help"}), ExitOK)
		is.Equal(daemon([]string{"--version"}), ExitOK)
		is.Equal(daemon(nil), ExitUsage)
		is.Equal(daemon([]string{"--no-such-option"}), ExitUsage)
		is.Equal(daemon([]string{"--settings", "no-such-file"}), ExitUsage)
		is.Equal(daemon([]string{"--check", "--settings", write(t, "vm = 3\n")}), ExitUsage)
	}
	is.Equal(Entry([]string{"--check", "--settings", "../examples/vakif/entry.toml"}), ExitOK)
	is.Equal(Entry([]string{"--check", "--settings", "../examples/vakif/model-endpoint.toml"}), ExitUsage)
	is.Equal(Endpoint([]string{"--check", "--settings", "../examples/vakif/model-endpoint.toml"}), ExitOK)
}
