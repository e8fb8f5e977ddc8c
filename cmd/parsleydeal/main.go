// Command parsleydeal is the operators' command line tool. See --help for its usage.
package main

import (
	"os"

	"github.com/parsleydeal/parsleydeal/cli"
)

func main() {
	os.Exit(cli.Operator(os.Args[1:]))
}
