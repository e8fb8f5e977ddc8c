package node

import (
	"context"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
)

const (
	// vmLineBytes is about what one VM takes in the platform's list.
	vmLineBytes = 150
	// vmListBytes bounds the bytes a second that reading the list may take.
	vmListBytes = 3 << 10
)

// readVMs reads the VM list again and again. The pause grows with the list: at
// 1,380 VMs, a reading each second would take 200 KB/s in every process. What
// the list tells later then, VMs tell by their own word.
func (n *Node) readVMs(ctx context.Context) {
	for {
		vms, err := n.cfg.VMs.List(ctx)
		if err != nil {
			n.cfg.Log.Debug("VM list could not be read", "error", err)
		} else {
			n.loop.Post(ctx, event.VMsListed{Now: n.cfg.Clock.Now(), VMs: vms})
		}
		if !clock.Pause(ctx, listPause(n.cfg.Settings.VMListEvery, len(vms))) {
			return
		}
	}
}

// listPause is the span before the next reading of a list of so many VMs.
func listPause(least clock.Millis, vms int) clock.Millis {
	return max(least, clock.Millis(vms)*vmLineBytes*clock.Second/vmListBytes)
}
