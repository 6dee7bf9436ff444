package cmd

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/demo"
	"lynxwell.dev/lynxwell/format"
	"lynxwell.dev/lynxwell/load"
)

// demoCmd implements the demo command, which runs a complete system in one process under a small load.
type demoCmd struct {
	sub  *flaggy.Subcommand
	opts demoOptions
}

// demoOptions holds the options of the demo command.
type demoOptions struct {
	json     bool
	length   time.Duration
	seed     uint64
	logLevel string
}

// demoLength is the default time for which requests are sent.
const demoLength = 12 * time.Second

func newDemoCmd() *demoCmd {
	com := &demoCmd{sub: newSubcommand("demo", "run a complete system in this process under a small load", "    lynxwell demo\n    lynxwell demo --json")}
	com.opts = demoOptions{length: demoLength, seed: 1, logLevel: zerolog.WarnLevel.String()}
	com.sub.Bool(&com.opts.json, "j", "json", "print the result as JSON")
	com.sub.Duration(&com.opts.length, "", "for", "time for which requests are sent (default 12s)")
	com.sub.UInt64(&com.opts.seed, "", "seed", "random seed of the load (default 1)")
	com.sub.String(&com.opts.logLevel, "", "log-level", "log level of the hosts (default warn)")
	return com
}

func (com *demoCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *demoCmd) run(ctx context.Context, str streams) error {
	log, err := newLogger(str.err, com.opts.logLevel)
	if err != nil {
		return err
	}
	progress := str.out
	if com.opts.json {
		progress = str.err
	}
	rep, err := demo.Run(ctx, demo.Config{For: com.opts.length, Seed: com.opts.seed, Log: log, Progress: progress})
	if err != nil {
		return err
	}
	if err := printReport(str.out, rep, com.opts.json); err != nil {
		return err
	}
	return demo.Check(rep)
}

func printReport(out io.Writer, rep load.Report, asJSON bool) error {
	if !asJSON {
		fmt.Fprintln(out)
		return rep.Write(out)
	}
	data, err := format.Encode(rep)
	if err != nil {
		return err
	}
	_, err = out.Write(data)
	return errors.Wrap(err, "print report")
}
