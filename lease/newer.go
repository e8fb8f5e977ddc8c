package lease

import (
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"google.golang.org/protobuf/proto"
)

// HasNewer reports whether records of the lease stream show a lease of a VM after a
// fencing number, be it of another start of its process or of this one, whose
// order was held up. Records that are no leases are skipped.
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
