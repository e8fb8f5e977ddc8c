package daemon

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// entryArguments has TestMain run an entry with these arguments instead of the tests.
const entryArguments = "PARSLEYDEAL_TEST_ENTRY"

func TestMain(m *testing.M) {
	if args := os.Getenv(entryArguments); args != "" {
		os.Exit(Entry(strings.Fields(args)))
	}
	os.Exit(m.Run())
}

// Guards against an entry that is ended by SIGHUP, as the settings change while it starts.
func TestHangupDoesNotEndStartingEntry(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.toml")
	is.NoErr(syscall.Mkfifo(path, 0o600))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), entryArguments+"=--settings "+path)
	is.NoErr(cmd.Start())
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the entry reads them
	is.NoErr(err)
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	is.NoErr(settings.Close())
	_ = cmd.Wait()
	is.Equal(cmd.ProcessState.ExitCode(), exitUsage) // the settings are empty
}
