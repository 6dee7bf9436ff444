package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"lynxwell.dev/lynxwell/entry"
	"lynxwell.dev/lynxwell/evacuation"
)

// evacuationInterval is how often the emptying of a failure domain is looked at with --watch:
// it takes seconds.
const evacuationInterval = time.Second

// evacuationCmd tells which failure domains are being emptied, and which engines are cold.
type evacuationCmd struct {
	sub  *flaggy.Subcommand
	opts evacuationOptions
}

// evacuationOptions are the options of evacuation.
type evacuationOptions struct {
	domain  string
	entry   netip.AddrPort
	timeout time.Duration
	watch   bool
}

func newEvacuationCmd() *evacuationCmd {
	com := &evacuationCmd{sub: newSubcommand("evacuation", "tell how far failure domains are emptied, and which engines are cold", "    lynxwell evacuation --entry 10.1.0.25:7601\n    lynxwell evacuation domain-a --entry 10.1.0.25:7601 --watch")}
	com.opts.timeout = 5 * time.Second
	com.sub.AddPositionalValue(&com.opts.domain, "DOMAIN", 1, false, "the failure domain, all where it is left out")
	com.sub.NetipAddrPort(&com.opts.entry, "e", "entry", "metrics address of a host; the one that decides knows who is missing")
	com.sub.Duration(&com.opts.timeout, "t", "timeout", "how long an answer may take")
	com.sub.Bool(&com.opts.watch, "w", "watch", "tell again each second until all are empty")
	return com
}

func (com *evacuationCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *evacuationCmd) run(ctx context.Context, str streams) error {
	if !com.opts.entry.IsValid() {
		return &usageError{flag: "--entry", reason: "want the metrics address of a host"}
	}
	tick := time.NewTicker(evacuationInterval)
	defer tick.Stop()
	for {
		empty, err := com.show(ctx, str)
		if err != nil || empty || !com.opts.watch {
			return err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// show prints the state once, and reports whether all domains that were asked for are empty.
func (com *evacuationCmd) show(ctx context.Context, str streams) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, com.opts.timeout)
	defer cancel()
	raw, err := fetchEntry(ctx, com.opts.entry, entry.PathDump)
	if err != nil {
		return false, err
	}
	var dum entry.Dump
	if err := json.Unmarshal(raw, &dum); err != nil {
		return false, errors.Wrap(err, "read state")
	}
	found, empty := false, true
	for _, evd := range dum.Evacuations {
		if com.opts.domain != "" && evd.Domain != com.opts.domain {
			continue
		}
		found = true
		empty = empty && evd.Told == evacuation.StateEmpty.String()
		if err := printEvacuation(str.out, evd, dum); err != nil {
			return false, err
		}
	}
	if com.opts.domain != "" && !found {
		return false, errors.Newf("%s knows of no order to empty %s", dum.Host, com.opts.domain)
	}
	if !found {
		fmt.Fprintf(str.out, "%s knows of no failure domain that is being emptied\n", dum.Host)
	}
	return empty, printCold(str.out, dum)
}

// printEvacuation prints one failure domain: how far it is, and what it waits for.
func printEvacuation(out io.Writer, evd evacuation.Dump, dum entry.Dump) error {
	var text strings.Builder
	if evd.Order == 0 {
		fmt.Fprintf(&text, "%s: taken back\n", evd.Domain)
	} else {
		fmt.Fprintf(&text, "%s: %s (order %d), told %q, %d running\n", evd.Domain, evd.State, evd.Order, evd.Told, evd.Running)
	}
	if len(evd.Missing) > 0 && dum.Own {
		fmt.Fprintf(&text, "  waits for %d hosts, epochs %s\n", len(evd.Missing), strings.Join(evd.Missing, " "))
	}
	if !dum.Own {
		fmt.Fprintf(&text, "  decided by the host with epoch %s, which knows who is missing\n", dum.Coordinator)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// printCold prints the engines that are cold, and what they get.
func printCold(out io.Writer, dum entry.Dump) error {
	var text strings.Builder
	for _, svc := range dum.Scheduler.Services {
		for _, eng := range svc.Engines {
			if eng.ColdFor == "" || eng.Rate == nil {
				continue
			}
			fmt.Fprintf(&text, "%s of %s is cold for %s: %g requests a second at most, %g granted here\n", eng.ID, svc.Name, eng.ColdFor, eng.Rate.PerSecond, eng.Rate.Own)
		}
	}
	_, err := io.WriteString(out, text.String())
	return err
}
