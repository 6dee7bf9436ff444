package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"lynxwell.dev/lynxwell/entry"
	"lynxwell.dev/lynxwell/rollout"
)

// rolloutInterval is the polling interval of --watch. The coordinator evaluates a roll-out
// ten times per second, and a roll-out takes at least some seconds.
const rolloutInterval = time.Second

// rolloutCmd implements the rollout command, which prints the progress of roll-outs.
type rolloutCmd struct {
	sub  *flaggy.Subcommand
	opts rolloutOptions
}

// rolloutOptions holds the options of the rollout command.
type rolloutOptions struct {
	service string
	entry   netip.AddrPort
	timeout time.Duration
	watch   bool
}

func newRolloutCmd() *rolloutCmd {
	com := &rolloutCmd{sub: newSubcommand("rollout", "print the progress of roll-outs and why they wait", "    lynxwell rollout menus --entry 10.1.0.25:7601\n    lynxwell rollout menus --entry 10.1.0.25:7601 --watch")}
	com.opts.timeout = 5 * time.Second
	com.sub.AddPositionalValue(&com.opts.service, "SERVICE", 1, false, "service (default: all)")
	com.sub.NetipAddrPort(&com.opts.entry, "e", "entry", "metrics address of a host; only the coordinator knows the counts")
	com.sub.Duration(&com.opts.timeout, "t", "timeout", "time limit for each response")
	com.sub.Bool(&com.opts.watch, "w", "watch", "print the state every second until the roll-out has ended")
	return com
}

func (com *rolloutCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *rolloutCmd) run(ctx context.Context, str streams) error {
	if !com.opts.entry.IsValid() {
		return &usageError{flag: "--entry", reason: "want the metrics address of a host"}
	}
	tick := time.NewTicker(rolloutInterval)
	defer tick.Stop()
	for {
		ended, err := com.show(ctx, str)
		if err != nil || ended || !com.opts.watch {
			return err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// show prints the roll-outs once and reports whether all have ended.
func (com *rolloutCmd) show(ctx context.Context, str streams) (bool, error) {
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
	found, ended := false, true
	for _, svc := range dum.Scheduler.Services {
		if svc.Rollout == nil || com.opts.service != "" && svc.Name != com.opts.service {
			continue
		}
		found = true
		ended = ended && svc.Rollout.State != rollout.StateRunning.String()
		if err := printRollout(str.out, *svc.Rollout, dum); err != nil {
			return false, err
		}
	}
	if !found {
		return false, errors.Newf("%s has no roll-out of %s", dum.Host, com.opts.service)
	}
	return ended, nil
}

// printRollout prints one roll-out: its state, its canary requests, and the answers by route.
func printRollout(out io.Writer, rod rollout.Dump, dum entry.Dump) error {
	text := fmt.Sprintf("%s to %s: %s (%s)\n", rod.Service, rod.Version, rod.State, rod.Reason)
	if !rod.Began.IsZero() {
		text += fmt.Sprintf("  began %s ago, period %s, canary phase over: %t\n", time.Since(rod.Began).Round(time.Millisecond), rod.Period, rod.Moving)
	}
	text += fmt.Sprintf("  canary requests: at most %d of %d, %d by this host\n", rod.Reserved, rod.Requests, rod.Given)
	if !dum.Own {
		text += fmt.Sprintf("  coordinated by the host with epoch %s; %s knows only the state that the coordinator stored\n", dum.Coordinator, dum.Host)
	}
	for _, name := range slices.Sorted(maps.Keys(rod.Routes)) {
		cou := rod.Routes[name]
		text += fmt.Sprintf("  route %s: new version %d good, %d bad answers (%d under load); old version %d good, %d bad\n",
			name, cou.NewGood, cou.NewBad, cou.Loaded, cou.FormerGood, cou.FormerBad)
	}
	_, err := io.WriteString(out, text)
	return err
}
