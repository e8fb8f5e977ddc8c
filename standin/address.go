package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// The ports are below the range from which the kernel takes the local port of an outgoing
// connection (the ephemeral range). A connection could otherwise take a port after it was found
// free and before a daemon listens on it; the daemon would then fail to start with "address already
// in use".
const (
	firstPort = 12000
	lastPort  = 32000
)

// blockSize is the number of ports that a process reserves at a time. Tests of several packages run
// in parallel, each in its own process; if these chose single ports, two could choose the same one
// between the check that it is free and the start of a daemon. A process therefore listens on the
// first port of a block until it exits, and allocates the ports that follow. Other processes find
// the first port in use and choose another block.
const blockSize = 100

var allocator struct {
	sync.Mutex
	// reservations listen on the first ports of the reserved blocks until the process exits.
	reservations []net.Listener
	// next is the next port to try, and end the port after the block that was reserved last.
	next int
	end  int
}

// FreeAddress returns a loopback address on which nothing listens. Neither the same process nor
// another one that runs at the same time is given the address again.
func FreeAddress() (address string) {
	allocator.Lock()
	defer allocator.Unlock()
	for {
		if allocator.next == allocator.end {
			reserveBlock()
		}
		address = loopback(allocator.next)
		allocator.next++
		lis, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = lis.Close()
		return address
	}
}

// reserveBlock reserves a block that no other process has reserved. Earlier blocks remain reserved,
// as their addresses are still in use.
func reserveBlock() {
	for {
		first := firstPort + blockSize*rand.IntN((lastPort-firstPort)/blockSize)
		lis, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue
		}
		allocator.reservations = append(allocator.reservations, lis)
		allocator.next, allocator.end = first+1, first+blockSize
		return
	}
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
