package daemon

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Scripts that install and watch a site go by exit codes alone.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	for _, daemon := range []func([]string) int{Entry, Endpoint} {
		is.Equal(daemon([]string{"--help"}), exitOK)
		is.Equal(daemon([]string{"--version"}), exitOK)
		is.Equal(daemon(nil), exitUsage)
		is.Equal(daemon([]string{"--no-such-option"}), exitUsage)
		is.Equal(daemon([]string{"--settings", "no-such-file"}), exitUsage)
		is.Equal(daemon([]string{"--check", "--settings", write(t, "vm = 3\n")}), exitUsage)
	}
	is.Equal(Entry([]string{"--check", "--settings", "../examples/vakif/entry.toml"}), exitOK)
	is.Equal(Entry([]string{"--check", "--settings", "../examples/vakif/model-endpoint.toml"}), exitUsage)
	is.Equal(Endpoint([]string{"--check", "--settings", "../examples/vakif/model-endpoint.toml"}), exitOK)
}

func write(t *testing.T, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
