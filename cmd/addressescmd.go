package cmd

import (
	"context"
	"fmt"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"lynxwell.dev/lynxwell/load"
)

// addressesCmd implements the addresses command, which asks a host for the addresses that clients should use.
type addressesCmd struct {
	sub  *flaggy.Subcommand
	opts addressesOptions
}

// addressesOptions holds the options of the addresses command.
type addressesOptions struct {
	entry   netip.AddrPort
	timeout time.Duration
}

func newAddressesCmd() *addressesCmd {
	com := &addressesCmd{sub: newSubcommand("addresses", "ask a host for the addresses that clients should use", "    lynxwell addresses --entry 127.0.0.1:7001")}
	com.opts.timeout = defaultTimeout
	com.sub.NetipAddrPort(&com.opts.entry, "e", "entry", "client address of a host, IP:PORT")
	com.sub.Duration(&com.opts.timeout, "", "timeout", "time limit for the whole command (default 30s)")
	return com
}

func (com *addressesCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *addressesCmd) run(ctx context.Context, str streams) error {
	if !com.opts.entry.IsValid() {
		return &usageError{name: "--entry", reason: "want IP:PORT"}
	}
	ctx, cancel := context.WithTimeout(ctx, com.opts.timeout)
	defer cancel()
	cli := load.NewClient(load.ClientConfig{Entries: []netip.AddrPort{com.opts.entry}})
	defer cli.Close()
	ans, err := cli.Refresh(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(str.out, "view %d, keep for %d s\n\n", ans.View, ans.KeepSeconds)
	tab := tabwriter.NewWriter(str.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "Host\tAddress\tDomain\tPrefix")
	for _, adr := range ans.Addresses {
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\n", adr.Host, adr.Address, adr.Domain, adr.Prefix)
	}
	return tab.Flush()
}
