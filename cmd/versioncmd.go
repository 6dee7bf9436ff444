package cmd

import (
	"context"
	"fmt"
	"runtime"

	"github.com/integrii/flaggy"
)

// versionCmd implements the version command, which prints the program's version.
type versionCmd struct {
	sub *flaggy.Subcommand
}

func newVersionCmd() *versionCmd {
	return &versionCmd{sub: newSubcommand("version", "print the program's version", "    lynxwell version")}
}

func (com *versionCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *versionCmd) run(_ context.Context, str streams) error {
	fmt.Fprintf(str.out, "lynxwell %s %s %s/%s\n", Version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return nil
}
