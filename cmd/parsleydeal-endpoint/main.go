// Command parsleydeal-endpoint runs the endpoint process in front of an engine or a
// service. See --help for its usage.
package main

import (
	"os"

	"github.com/parsleydeal/parsleydeal/daemon"
)

func main() {
	os.Exit(daemon.Endpoint(os.Args[1:]))
}
