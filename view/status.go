package view

import "github.com/parsleydeal/parsleydeal/clock"

// HoldStatus is one hold as operators see it.
type HoldStatus struct {
	Version string `json:"version"`
	// Organisation is empty if the version is held for all organisations.
	Organisation string  `json:"organisation,omitempty"`
	Released     int64   `json:"released"`
	Signal       string  `json:"signal"`
	Route        string  `json:"route"`
	Seen         float64 `json:"seen"`
	Bad          float64 `json:"bad"`
	Limit        float64 `json:"limit"`
	Judge        string  `json:"judge"`
	// Logged is false if the hold is not on the log yet, so that only this process knows of it.
	Logged bool `json:"logged"`
}

// HoldsStatus lists the holds in force.
func (v *View) HoldsStatus() (out []HoldStatus) {
	out = []HoldStatus{}
	for _, h := range v.holds.List() {
		out = append(out, HoldStatus{
			Version: h.GetVersion(), Organisation: h.GetOrganisation(), Released: h.GetReleased(), Signal: h.GetSignal(), Route: h.GetRoute(),
			Seen: h.GetSeen(), Bad: h.GetBad(), Limit: h.GetLimit(), Judge: h.GetJudge(), Logged: h.GetOffset() >= 0,
		})
	}
	return out
}

// RampsStatus returns, by zone, the fraction of its share of work that a zone which is ramping up
// gets. Zones that get their full share are omitted.
func (v *View) RampsStatus(now clock.Millis) map[string]float64 {
	out := make(map[string]float64)
	for _, name := range v.zones.Names() {
		if fraction := v.zones.Fraction(name, now); fraction < 1 {
			out[name] = fraction
		}
	}
	return out
}

// RatingStatus is the mean of the ratings of a version on a route.
type RatingStatus struct {
	Route   string  `json:"route"`
	Version string  `json:"version"`
	Ratings int64   `json:"ratings"`
	Mean    float64 `json:"mean"`
}

// RatingsStatus lists the ratings of the versions by route.
func (v *View) RatingsStatus() (out []RatingStatus) {
	out = []RatingStatus{}
	for _, e := range v.quality.Estimates() {
		out = append(out, RatingStatus{e.GetRoute(), e.GetVersion(), e.GetRatings(), e.GetRatingSum() / float64(max(e.GetRatings(), 1))})
	}
	return out
}
