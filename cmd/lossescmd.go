package cmd

import (
	"context"
	"io"
	"time"

	"github.com/integrii/flaggy"

	"lynxwell.dev/lynxwell/story"
)

// lossesCmd counts what became of all requests.
type lossesCmd struct {
	sub  *flaggy.Subcommand
	opts lossesOptions
}

// lossesOptions are the options of losses.
type lossesOptions struct {
	logs   []string
	window time.Duration
}

func newLossesCmd() *lossesCmd {
	com := &lossesCmd{sub: newSubcommand("losses", "count what became of all requests, from the hosts' logs",
		"    lynxwell losses --log host-1.log --log host-2.log\n    cat *.log | lynxwell losses --window 5s")}
	com.sub.StringSlice(&com.opts.logs, "l", "log", "file of a host's log; may be given again; else the standard input")
	com.sub.Duration(&com.opts.window, "w", "window", "length of a row of time; 2s by default")
	return com
}

func (com *lossesCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *lossesCmd) run(_ context.Context, str streams) error {
	if com.opts.window < 0 {
		return &usageError{flag: "--window", reason: "want a time over 0"}
	}
	los := story.NewLosses(com.opts.window)
	if err := readLogs(los, com.opts.logs, str.in); err != nil {
		return err
	}
	return los.Write(str.out)
}

// logReader takes logs in.
type logReader interface {
	Read(log io.Reader) error
}
