// Command parsleydeal-entry runs an entry, which routes the requests of callers. See
// --help for its usage.
package main

import (
	"os"

	"github.com/parsleydeal/parsleydeal/daemon"
)

func main() {
	os.Exit(daemon.Entry(os.Args[1:]))
}
