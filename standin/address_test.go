package standin

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a daemon that fails to start because a connection of another process took its port:
// addresses must be below the kernel's ephemeral range, and none may be returned twice.
func TestFreeAddressesAreUniqueAndBelowEphemeralRange(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for range 100 {
		address := FreeAddress()
		is.True(!seen[address])
		seen[address] = true
		a, err := net.ResolveTCPAddr("tcp", address)
		is.NoErr(err)
		is.True(a.Port >= firstPort && a.Port < lastPort)
	}
}

// Guards against "address already in use" when tests of several packages run in parallel, each in
// its own process: a process must not get an address that another one was given, even if nothing
// listens on it yet.
func TestProcessesShareNoAddresses(t *testing.T) {
	is := is.New(t)
	if n := os.Getenv("DRAW_ADDRESSES"); n != "" {
		for range 150 {
			fmt.Println("drawn", FreeAddress())
		}
		time.Sleep(time.Second) // keeps its block reserved while the other process allocates addresses
		return
	}
	seen := make(map[string]bool)
	for range 150 {
		seen[FreeAddress()] = true
	}
	is.Equal(len(seen), 150)
	const otherProcesses = 8
	drawn := make(chan string)
	for range otherProcesses {
		go func() {
			cmd := exec.Command(os.Args[0], "-test.run", "^TestProcessesShareNoAddresses$")
			cmd.Env = append(os.Environ(), "DRAW_ADDRESSES=1")
			out, _ := cmd.Output()
			drawn <- string(out)
		}()
	}
	for range otherProcesses {
		for line := range strings.Lines(<-drawn) {
			if address, ok := strings.CutPrefix(strings.TrimSpace(line), "drawn "); ok {
				is.True(!seen[address])
				seen[address] = true
			}
		}
	}
	is.Equal(len(seen), 150*(otherProcesses+1))
}
