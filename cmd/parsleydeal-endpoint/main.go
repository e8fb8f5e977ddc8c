// Command parsleydeal-endpoint is described by its --help.
package main

import (
	"os"

	"github.com/parsleydeal/parsleydeal/daemon"
)

func main() {
	os.Exit(daemon.Endpoint(os.Args[1:]))
}
