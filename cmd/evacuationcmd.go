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

// evacuationInterval is the polling interval of --watch. Evacuating a failure domain takes at
// least some seconds.
const evacuationInterval = time.Second

// evacuationCmd implements the evacuation command, which prints the progress of evacuations and
// the cold engines.
type evacuationCmd struct {
	sub  *flaggy.Subcommand
	opts evacuationOptions
}

// evacuationOptions holds the options of the evacuation command.
type evacuationOptions struct {
	domain  string
	entry   netip.AddrPort
	timeout time.Duration
	watch   bool
}

func newEvacuationCmd() *evacuationCmd {
	com := &evacuationCmd{sub: newSubcommand("evacuation", "print the progress of evacuations and the cold engines", "    lynxwell evacuation --entry 10.1.0.25:7601\n    lynxwell evacuation domain-a --entry 10.1.0.25:7601 --watch")}
	com.opts.timeout = 5 * time.Second
	com.sub.AddPositionalValue(&com.opts.domain, "DOMAIN", 1, false, "failure domain (default: all)")
	com.sub.NetipAddrPort(&com.opts.entry, "e", "entry", "metrics address of a host; only the coordinator knows the missing hosts")
	com.sub.Duration(&com.opts.timeout, "t", "timeout", "time limit for each response")
	com.sub.Bool(&com.opts.watch, "w", "watch", "print the state every second until all selected domains are empty")
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

// show prints the state once and reports whether all selected domains are empty.
func (com *evacuationCmd) show(ctx context.Context, str streams) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, com.opts.timeout)
	defer cancel()
	raw, err := fetchEntry(ctx, com.opts.entry, entry.PathDump)
	if err != nil {
		return false, err
	}
	var dum entry.Dump
	if err := json.Unmarshal(raw, &dum); err != nil {
		return false, errors.Wrap(err, "decode state")
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
		return false, errors.Newf("%s has no evacuation order for %s", dum.Host, com.opts.domain)
	}
	if !found {
		fmt.Fprintf(str.out, "%s has no evacuation order\n", dum.Host)
	}
	return empty, printCold(str.out, dum)
}

// printEvacuation prints the progress of one failure domain's evacuation and the hosts that the
// coordinator waits for.
func printEvacuation(out io.Writer, evd evacuation.Dump, dum entry.Dump) error {
	var text strings.Builder
	if evd.Order == 0 {
		fmt.Fprintf(&text, "%s: order withdrawn\n", evd.Domain)
	} else {
		fmt.Fprintf(&text, "%s: %s (order %d), published %q, %d running\n", evd.Domain, evd.State, evd.Order, evd.Told, evd.Running)
	}
	if len(evd.Missing) > 0 && dum.Own {
		fmt.Fprintf(&text, "  waiting for %d hosts, epochs %s\n", len(evd.Missing), strings.Join(evd.Missing, " "))
	}
	if !dum.Own {
		fmt.Fprintf(&text, "  coordinated by the host with epoch %s, which knows the missing hosts\n", dum.Coordinator)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// printCold prints the cold engines and the limits on their request rates.
func printCold(out io.Writer, dum entry.Dump) error {
	var text strings.Builder
	for _, svc := range dum.Scheduler.Services {
		for _, eng := range svc.Engines {
			if eng.ColdFor == "" || eng.Rate == nil {
				continue
			}
			fmt.Fprintf(&text, "%s of %s is cold for %s: at most %g requests per second, %g granted by this host\n", eng.ID, svc.Name, eng.ColdFor, eng.Rate.PerSecond, eng.Rate.Own)
		}
	}
	_, err := io.WriteString(out, text.String())
	return err
}
