package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"lynxwell.dev/lynxwell/entry"
)

// dumpCmd implements the dump command, which prints the state of a host's process.
type dumpCmd struct {
	sub  *flaggy.Subcommand
	opts dumpOptions
}

// dumpOptions holds the options of the dump command.
type dumpOptions struct {
	hostOptions
	address string
	metrics bool
	entry   netip.AddrPort
}

func newDumpCmd() *dumpCmd {
	com := &dumpCmd{sub: newSubcommand("dump", "print the state of a host's process", "    lynxwell dump 127.0.0.1:7003 --key-file operator.key\n    lynxwell dump 127.0.0.1:7003 --metrics\n    lynxwell dump --entry 10.1.0.25:7601")}
	com.opts.addFlags(com.sub)
	com.sub.AddPositionalValue(&com.opts.address, "HOST", 1, false, "operator address of the host, replaces --host")
	com.sub.NetipAddrPort(&com.opts.entry, "e", "entry", "metrics address of a host on the users' platform; needs no key")
	com.sub.Bool(&com.opts.metrics, "m", "metrics", "print the metrics instead of the state")
	return com
}

func (com *dumpCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *dumpCmd) run(ctx context.Context, str streams) error {
	if com.opts.entry.IsValid() {
		return com.runEntry(ctx, str)
	}
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
	return printIndented(str, raw)
}

// runEntry prints the state or the metrics of a host on the users' platform.
func (com *dumpCmd) runEntry(ctx context.Context, str streams) error {
	ctx, cancel := context.WithTimeout(ctx, com.opts.timeout)
	defer cancel()
	path := entry.PathDump
	if com.opts.metrics {
		path = "/metrics"
	}
	raw, err := fetchEntry(ctx, com.opts.entry, path)
	if err != nil {
		return err
	}
	if com.opts.metrics {
		_, err := str.out.Write(raw)
		return err
	}
	return printIndented(str, raw)
}

// fetchEntry sends a GET request for the path to the metrics address of a host on
// the users' platform and returns the body.
func fetchEntry(ctx context.Context, adr netip.AddrPort, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+adr.String()+path, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	rep, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer rep.Body.Close()
	raw, err := io.ReadAll(rep.Body)
	return raw, errors.Wrap(err, "read response body")
}

func printIndented(str streams, raw []byte) error {
	var pretty bytes.Buffer
	if err := json.Indent(&pretty, raw, "", "  "); err != nil {
		return errors.Wrap(err, "indent dump")
	}
	pretty.WriteByte('\n')
	_, err := pretty.WriteTo(str.out)
	return err
}
