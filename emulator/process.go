package emulator

import (
	"net"
	"net/http"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/overload"
)

// maxConnections is how many entries a caller tries whose connections are closed unread.
const maxConnections = 3

// process is the processor time of an entry.
type process struct {
	limiter *overload.Limiter
	// freeAt is when the requests accepted so far will have been read, in milliseconds.
	freeAt float64
}

// connection identifies a caller's connection.
type connection struct{ net.Conn }

func (sim *simulation) newProcess() *process {
	c := clock.New(func() clock.Millis { return sim.now })
	unknown := func() (clock.Millis, bool) { return 0, false }
	return &process{limiter: overload.NewLimiterWith(c, unknown, nil)}
}

// connect has a request read by its entry, or by another one if that closes the connection.
func (sim *simulation) connect(r *request, now clock.Millis) {
	if sim.site.EntryRate == 0 {
		sim.send(r, now)
		return
	}
	for range maxConnections {
		p := r.entry.process
		if p.limiter.Admit() {
			r.conn = &connection{}
			p.limiter.Track(r.conn, http.StateNew)
			p.freeAt = max(p.freeAt, float64(now)) + float64(clock.Second)/sim.site.EntryRate
			sim.schedule(clock.Millis(p.freeAt)+1, func(at clock.Millis) {
				p.limiter.RecordReadDelay(at - now)
				sim.send(r, at)
			})
			return
		}
		sim.result.Closed++
		r.entry = sim.entries[sim.rnd.IntN(len(sim.entries))]
	}
	sim.refuse(r, now)
}

// disconnect ends the connection of a request.
func (r *request) disconnect() {
	if r.conn != nil {
		r.entry.process.limiter.Track(r.conn, http.StateClosed)
		r.conn = nil
	}
}
