package relay

import (
	"cmp"

	"github.com/parsleydeal/parsleydeal/catalog"
)

// configOf returns a configuration with one route, to which it adds what a valid one must have.
func configOf(route *catalog.Route, services ...catalog.Service) *catalog.Config {
	route.Host, route.Prefix, route.MaxAttempts = cmp.Or(route.Host, "h"), cmp.Or(route.Prefix, "/"), cmp.Or(route.MaxAttempts, 1)
	if len(route.Targets) == 0 {
		route.Targets = []catalog.Target{{Service: services[0].Name, Weight: 1}}
	}
	c, err := catalog.Draft{Version: 1, Routes: []*catalog.Route{route}, Services: services}.Check()
	if err != nil {
		panic(err)
	}
	return c
}
