package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// dumpCmd prints the state of a host's process.
type dumpCmd struct {
	sub  *flaggy.Subcommand
	opts dumpOptions
}

// dumpOptions are the options of dump.
type dumpOptions struct {
	hostOptions
	address string
	metrics bool
}

func newDumpCmd() *dumpCmd {
	com := &dumpCmd{sub: newSubcommand("dump", "print the state of a host's process", "    lynxwell dump 127.0.0.1:7003 --key-file operator.key\n    lynxwell dump 127.0.0.1:7003 --metrics")}
	com.opts.attach(com.sub)
	com.sub.AddPositionalValue(&com.opts.address, "HOST", 1, false, "operator address of the host, instead of --host")
	com.sub.Bool(&com.opts.metrics, "m", "metrics", "print the measurements instead")
	return com
}

func (com *dumpCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *dumpCmd) run(ctx context.Context, str streams) error {
	if com.opts.address != "" {
		adr, err := netip.ParseAddrPort(com.opts.address)
		if err != nil {
			return &usageError{flag: "HOST", reason: err.Error()}
		}
		com.opts.host = adr
	}
	cli, err := com.opts.client()
	if err != nil {
		return err
	}
	defer cli.Close()
	ctx, cancel := context.WithTimeout(ctx, com.opts.timeout)
	defer cancel()
	fetch := cli.Dump
	if com.opts.metrics {
		fetch = cli.Metrics
	}
	raw, err := fetch(ctx)
	if err != nil {
		return err
	}
	var pretty bytes.Buffer
	if err := json.Indent(&pretty, raw, "", "  "); err != nil {
		return errors.Wrap(err, "indent dump")
	}
	pretty.WriteByte('\n')
	_, err = pretty.WriteTo(str.out)
	return err
}
