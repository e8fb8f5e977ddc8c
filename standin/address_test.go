package standin

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// A daemon of a test fails to start since a connection of another process took
// its port in between. Addresses must stay clear of the ports that the kernel
// gives away by itself, and none may be given twice.
func TestFreeAddressesAreApartAndBelowTheKernelsRange(t *testing.T) {
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
