// Command parsleydeal-endpoint is described by its --help.
package main

import (
	"os"

	"github.com/parsleydeal/parsleydeal/cli"
)

func main() {
	os.Exit(cli.Endpoint(os.Args[1:]))
}
