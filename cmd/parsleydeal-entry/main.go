// Command parsleydeal-entry is described by its --help.
package main

import (
	"os"

	"github.com/parsleydeal/parsleydeal/cli"
)

func main() {
	os.Exit(cli.Entry(os.Args[1:]))
}
