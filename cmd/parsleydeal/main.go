// Command parsleydeal is described by its --help.
package main

import (
	"os"

	"github.com/parsleydeal/parsleydeal/cli"
)

func main() {
	os.Exit(cli.Operator(os.Args[1:]))
}
