package relay

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/parsleydeal/parsleydeal/quarantine"
)

// An endpoint refuses a request, or fails it at its deadline, and answers others afterwards. Guards against
// a block that is cleared although no endpoint began to answer on it.
func TestOnlyAnswersClearBlocks(t *testing.T) {
	for name, h := range map[string]Head{
		"refused":        {Status: http.StatusServiceUnavailable, Signed: true, NotRun: true},
		"other endpoint": {Status: http.StatusMisdirectedRequest, WrongEndpoint: true},
		"failed":         {Status: http.StatusGatewayTimeout, Signed: true},
		"unsigned":       {Status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).True(!h.begins()) })
	}
	is.New(t).True(Head{Status: http.StatusOK, Signed: true}.begins())
}

// Only blocks that other requests may share have keys: the last one belongs to one request or session.
func TestLastBlockHasNoKey(t *testing.T) {
	is := is.New(t)
	is.Equal(keysOf([]placement.Block{{ID: "a"}, {ID: "b"}, {ID: "own"}}), []string{"a", "b"})
	is.Equal(len(keysOf([]placement.Block{{ID: "own"}})), 0)
	is.Equal(len(keysOf(nil)), 0)
}

// Evidence passes through the messages between entries unchanged.
func TestEvidenceOnTheWire(t *testing.T) {
	is := is.New(t)
	e := quarantine.Evidence{
		Crashes: []quarantine.ReportedCrash{{Incarnation: 1 << 63, Age: 20, Names: []quarantine.ReportedName{{Block: "a", BeganAge: 90}, {Block: "b", BeganAge: 100}}}},
		Blocks:  []quarantine.ReportedBlock{{Block: "c", Cleared: true, ClearedAge: 5 * clock.Second, SeenAge: 1}, {Block: "d", SeenAge: 7}},
	}
	is.Equal(evidenceFromWire(evidenceToWire(e)), e)
	is.True(evidenceToWire(quarantine.Evidence{}) == nil)
}
