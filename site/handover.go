package site

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// handover is what an entry that starts has to know of the last seconds, and cannot read from the store.
type handover struct {
	// sessions are those that entries keep on old versions.
	sessions []keptSessions
	// coldZones holds until when the endpoints of zones that came back into service are treated as cold.
	coldZones map[string]clock.Millis
	// complete is true if the sender knows what happened before it started.
	complete bool
}

// HandoverReceived is what another entry hands on to this one, which has started from the store.
type HandoverReceived struct {
	Now      clock.Millis
	Handover handover
}

func (HandoverReceived) event() {}

// addHandover adds what an entry that starts has to know to a content.
func (s *State) addHandover(c *wire.SiteContent) {
	c.Sessions, c.KnowsPast = s.sessionsToWire(), !s.lacksHandover()
	for zone, until := range s.fleet.ColdZones(s.now) {
		c.ColdZones = append(c.ColdZones, &wire.ColdZone{Zone: zone, RemainingMillis: int64(until - s.now)})
	}
}

// handoverFromWire returns the handover of a content that was built at the time builtAt.
func handoverFromWire(c *wire.SiteContent, builtAt clock.Millis) (h handover) {
	h.sessions, h.coldZones, h.complete = sessionsFromWire(c.GetSessions(), builtAt), make(map[string]clock.Millis), c.GetKnowsPast()
	for _, z := range c.GetColdZones() {
		h.coldZones[z.GetZone()] = builtAt + min(clock.Millis(z.GetRemainingMillis()), maxZoneCold)
	}
	return h
}

// maxZoneCold bounds for how long a zone is treated as cold because another entry does so.
const maxZoneCold = 10 * clock.Second

// takeHandover takes what another entry hands on when this one starts.
func (s *State) takeHandover(h handover) {
	if s.handedOver {
		return
	}
	s.handedOver = h.complete
	s.retained = append(s.retained, h.sessions...)
	s.limitRetained()
	for zone, until := range h.coldZones {
		s.fleet.SetZoneCold(zone, until)
	}
}

// lacksHandover reports whether this entry has started without another one's state and has to ask for a handover. Later on
// it has seen itself what happens.
func (s *State) lacksHandover() bool {
	return !s.handedOver && s.started() && s.now-s.startedAt < s.sessionTTL()
}
