package cmd

import (
	"context"
	"io"
	"time"

	"github.com/integrii/flaggy"

	"lynxwell.dev/lynxwell/story"
)

// lossesCmd implements the losses command, which counts the outcomes of all requests.
type lossesCmd struct {
	sub  *flaggy.Subcommand
	opts lossesOptions
}

// lossesOptions holds the options of the losses command.
type lossesOptions struct {
	logs   []string
	window time.Duration
}

func newLossesCmd() *lossesCmd {
	com := &lossesCmd{sub: newSubcommand("losses", "count the outcomes of all requests from the hosts' logs",
		"    lynxwell losses --log host-1.log --log host-2.log\n    cat *.log | lynxwell losses --window 5s")}
	com.sub.StringSlice(&com.opts.logs, "l", "log", "log file of a host; repeatable (default: standard input)")
	com.sub.Duration(&com.opts.window, "w", "window", "length of a time window (default 2s)")
	return com
}

func (com *lossesCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *lossesCmd) run(_ context.Context, str streams) error {
	if com.opts.window < 0 {
		return &usageError{flag: "--window", reason: "want a duration of 0s or more"}
	}
	los := story.NewLosses(com.opts.window)
	if err := readLogs(los, com.opts.logs, str.in); err != nil {
		return err
	}
	return los.Write(str.out)
}

// logReader collects lines from one log after the other: a story.Timeline or a story.Losses.
type logReader interface {
	Read(log io.Reader) error
}
