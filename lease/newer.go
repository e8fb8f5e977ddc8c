package lease

import (
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"google.golang.org/protobuf/proto"
)

// HasNewer reports whether records of the lease stream contain a lease of a VM that is newer than a
// fencing number. The newer lease belongs to another incarnation of the VM's process, or to the
// same incarnation if its order with that number was delayed. Records that are not leases are
// skipped.
func HasNewer(records []provider.Record, vm string, fence int64) bool {
	for _, r := range records {
		l := &wire.Lease{}
		if r.Offset <= fence || proto.Unmarshal(r.Data, l) != nil {
			continue
		}
		if l.GetVm() == vm {
			return true
		}
	}
	return false
}
