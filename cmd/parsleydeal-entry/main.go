// Command parsleydeal-entry is described by its --help.
package main

import (
	"os"

	"github.com/parsleydeal/parsleydeal/daemon"
)

func main() {
	os.Exit(daemon.Entry(os.Args[1:]))
}
