package site

import "github.com/parsleydeal/parsleydeal/catalog"

// configOf returns a configuration with one route.
func configOf(version int64) *catalog.Config {
	c, err := catalog.Draft{
		Version: version, Services: []catalog.Service{{Name: "pool"}},
		Routes: []*catalog.Route{{Name: "r", Host: "h", Prefix: "/", MaxAttempts: 1, Targets: []catalog.Target{{Service: "pool", Weight: 1}}}},
	}.Check()
	if err != nil {
		panic(err)
	}
	return c
}
