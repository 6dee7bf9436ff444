// Command lynxwell is a request scheduler for language-model engines of unequal
// speed: the daemon, the operators' client, and fakes of the engines and the platform
// for testing.
//
// # Usage
//
//	lynxwell demo
//	lynxwell serve --settings host.json
//	lynxwell apply --file menus.json --host 10.0.0.1:7003
package main

import (
	"os"

	"lynxwell.dev/lynxwell/cmd"
)

func main() {
	os.Exit(cmd.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
