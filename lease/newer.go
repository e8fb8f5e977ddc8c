package lease

import (
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/platform"
	"google.golang.org/protobuf/proto"
)

// Newer reports whether records of the lease stream show a lease of a VM that
// another start of its process took after a fencing number. Records that are no
// leases are skipped.
func Newer(records []platform.Record, vm string, epoch uint64, fence int64) bool {
	for _, r := range records {
		l := &wire.Lease{}
		if r.Offset <= fence || proto.Unmarshal(r.Data, l) != nil {
			continue
		}
		if l.GetVm() == vm && l.GetEpoch() != epoch {
			return true
		}
	}
	return false
}
