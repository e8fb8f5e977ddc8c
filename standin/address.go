package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports come from below the range that the kernel gives to outgoing
// connections. A port from that range may be taken by a connection between the
// moment it was found free and the moment a daemon listens on it; the daemon
// then fails to start with "address already in use".
const (
	firstPort = 12000
	lastPort  = 32000
)

var given = struct {
	sync.Mutex
	ports map[int]bool
}{ports: make(map[int]bool)}

// FreeAddress returns a loopback address on which nothing listens and which it
// has not returned before.
func FreeAddress() (address string) {
	given.Lock()
	defer given.Unlock()
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if given.ports[port] {
			continue
		}
		address = fmt.Sprintf("127.0.0.1:%d", port)
		lis, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = lis.Close()
		given.ports[port] = true
		return address
	}
}
