package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports are below the ephemeral range that the kernel uses for outgoing connections. A connection may
// take a port of that range after it was found free and before a daemon listens on it; the daemon
// then fails to start with "address already in use".
const (
	firstPort = 12000
	lastPort  = 32000
)

// blockSize is the number of ports that a process reserves at a time. If processes chose single ports,
// tests of several packages that run in parallel could choose the same one between a check and a
// daemon's start. A process therefore reserves a block by listening on its first port until it exits,
// and allocates the ports that follow; other processes find the first port in use.
const blockSize = 100

var allocator struct {
	sync.Mutex
	// reservations listen on the first ports of the reserved blocks until the process exits.
	reservations []net.Listener
	// next is the port to try next, end the port after the newest block.
	next int
	end  int
}

// FreeAddress returns a loopback address on which nothing listens. It returns no address twice in a
// process, nor in two processes that run at the same time.
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

// reserveBlock reserves a block that no other process holds. Earlier blocks remain reserved, as their
// addresses are still in use.
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
