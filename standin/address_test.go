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

// A daemon of a test fails to start since a connection of another process took
// its port in between. Addresses must stay clear of the ports that the kernel
// gives away by itself, and none may be given twice.
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

// Tests of several packages run side by side, each in a process of its own, and drew
// their ports from one range: an entry ended with "address already in use". A process
// must not get an address that another one has drawn, also before anything listens
// on it.
func TestProcessesShareNoAddresses(t *testing.T) {
	is := is.New(t)
	if n := os.Getenv("DRAW_ADDRESSES"); n != "" {
		for range 150 {
			fmt.Println("drawn", FreeAddress())
		}
		time.Sleep(time.Second) // the blocks are held while the process lives
		return
	}
	seen := make(map[string]bool)
	for range 150 {
		seen[FreeAddress()] = true
	}
	is.Equal(len(seen), 150)
	const others = 8
	drawn := make(chan string)
	for range others {
		go func() {
			cmd := exec.Command(os.Args[0], "-test.run", "^TestProcessesShareNoAddresses$")
			cmd.Env = append(os.Environ(), "DRAW_ADDRESSES=1")
			out, _ := cmd.Output()
			drawn <- string(out)
		}()
	}
	for range others {
		for line := range strings.Lines(<-drawn) {
			if address, ok := strings.CutPrefix(strings.TrimSpace(line), "drawn "); ok {
				is.True(!seen[address])
				seen[address] = true
			}
		}
	}
	is.Equal(len(seen), 150*(others+1))
}
