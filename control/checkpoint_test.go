package control

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
)

const (
	changeOne = "id = \"a\"\nauthor = \"ops\"\nkind = \"whole\"\nbase = -1\n[tables.zones.a]\nstate = \"in\"\n"
	changeTwo = "id = \"b\"\nauthor = \"ops\"\nkind = \"patch\"\nbase = 0\n[tables.zones.a]\nstate = \"out\"\n"
)

func page(first int64, records ...provider.Record) event.LogRead {
	head := first
	for _, r := range records {
		head = r.Offset + 1
	}
	return event.LogRead{Stream: provider.ConfigStream, Page: provider.Page{First: first, Head: head, Records: records}}
}

// A process starts after the log has dropped its first records. If it applied only the rest, it
// would reject changes that are based on the dropped ones and that all other processes accepted. It
// must wait for a checkpoint from the log or from a peer.
func TestStartAfterRecordsExpired(t *testing.T) {
	is := is.New(t)
	upToDate := NewState("old")
	upToDate, _ = Reduce(upToDate, page(0, provider.Record{Offset: 0, Data: []byte(changeOne)}, provider.Record{Offset: 1, Data: []byte(changeTwo)}))
	is.Equal(upToDate.View().Revision(), int64(1))
	saved, err := upToDate.View().Checkpoint().Encode()
	is.NoErr(err)

	fromLog := NewState("from-log")
	fromLog, _ = Reduce(fromLog, page(1, provider.Record{Offset: 1, Data: []byte(changeTwo)}))
	is.Equal(fromLog.View().Revision(), int64(-1)) // the change it is based on is missing
	fromLog, _ = Reduce(fromLog, page(1, provider.Record{Offset: 2, Data: saved}))
	is.Equal(fromLog.View().Revision(), int64(1))
	is.Equal(fromLog.View().Tail().From(), int64(2)) // it can send peers the records from this offset on

	fromPeer := NewState("from-peer")
	reply := &wire.RecordsReply{From: 2, Checkpoint: &wire.Record{Offset: 2, Data: saved}}
	fromPeer, _ = Reduce(fromPeer, event.RecordsReceived{From: "old", Reply: reply})
	is.Equal(fromPeer.View().Revision(), int64(1))
	is.True(fromPeer.View().Tables().ZoneOut("a"))
	is.Equal(fromPeer.View().Tail().Restarts(), 1) // the reader of the log starts again at the checkpoint

	// Neither the checkpoint's record nor a late reply changes a process that is up to date.
	upToDate, _ = Reduce(upToDate, page(0, provider.Record{Offset: 2, Data: saved}))
	is.Equal(upToDate.View().Revision(), int64(1))
	upToDate, _ = Reduce(upToDate, event.RecordsReceived{From: "late", Reply: reply})
	is.Equal(upToDate.View().Tail().From(), int64(0))
}
