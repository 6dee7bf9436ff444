package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/entry"
	"lynxwell.dev/lynxwell/scheduler"
)

// heldCmd lists the requests that end engines, and lets one go.
type heldCmd struct {
	sub  *flaggy.Subcommand
	opts heldOptions
}

// heldOptions are the options of held.
type heldOptions struct {
	entry   netip.AddrPort
	timeout time.Duration
	free    string
}

func newHeldCmd() *heldCmd {
	com := &heldCmd{sub: newSubcommand("held", "list requests that end engines, or let one go", "    lynxwell held --entry 10.1.0.25:7601\n    lynxwell held --entry 10.1.0.25:7601 --free 87383c4a3e4700b3e513b4d0fc388e8a")}
	com.opts.timeout = 5 * time.Second
	com.sub.NetipAddrPort(&com.opts.entry, "e", "entry", "metrics address of a host; the one that decides knows most")
	com.sub.Duration(&com.opts.timeout, "t", "timeout", "how long an answer may take")
	com.sub.String(&com.opts.free, "f", "free", "digest of a request to let go")
	return com
}

func (com *heldCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *heldCmd) run(ctx context.Context, str streams) error {
	if !com.opts.entry.IsValid() {
		return &usageError{flag: "--entry", reason: "want the metrics address of a host"}
	}
	ctx, cancel := context.WithTimeout(ctx, com.opts.timeout)
	defer cancel()
	if com.opts.free != "" {
		return com.letGo(ctx, str)
	}
	raw, err := fetchEntry(ctx, com.opts.entry, entry.PathDump)
	if err != nil {
		return err
	}
	var dum entry.Dump
	if err := json.Unmarshal(raw, &dum); err != nil {
		return errors.Wrap(err, "read state")
	}
	return printCases(str.out, dum)
}

// letGo has a host let a request go.
func (com *heldCmd) letGo(ctx context.Context, str streams) error {
	dig, err := call.ParseDigest(com.opts.free)
	if err != nil {
		return &usageError{flag: "--free", reason: err.Error()}
	}
	target := url.URL{Scheme: "http", Host: com.opts.entry.String(), Path: entry.PathFree, RawQuery: url.Values{"digest": {dig.String()}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), http.NoBody)
	if err != nil {
		return errors.Wrap(err, "make call")
	}
	rep, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer rep.Body.Close()
	body, err := io.ReadAll(rep.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if rep.StatusCode != http.StatusOK {
		return errors.Newf("%s: %s", com.opts.entry, strings.TrimSpace(string(body)))
	}
	_, err = fmt.Fprintf(str.out, "%s is let go\n", dig)
	return err
}

// printCases prints what a host knows against requests, the worst first.
func printCases(out io.Writer, dum entry.Dump) error {
	var text strings.Builder
	if len(dum.Scheduler.Cases)+len(dum.Scheduler.Restricted) == 0 {
		fmt.Fprintf(&text, "%s knows of no request that ended an engine\n", dum.Host)
	}
	for _, cas := range dum.Scheduler.Cases {
		fmt.Fprintf(&text, "%s %s%s\n", cas.Digest, cas.Level, heldUntil(cas))
		fmt.Fprintf(&text, "  of %s by %s to %s\n", orNone(cas.Account), cas.Route, cas.Service)
		fmt.Fprintf(&text, "  ended %s, alone on the last: %t, let out %d times\n", strings.Join(cas.Engines, " "), cas.Alone, cas.Trials)
	}
	for _, src := range dum.Scheduler.Restricted {
		fmt.Fprintf(&text, "all of %s by %s to %s run apart: they end engines and change each time\n", orNone(src.Account), src.Route, src.Service)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// heldUntil tells for how long a request is held; nothing for one that isn't.
func heldUntil(cas scheduler.CaseDump) string {
	switch {
	case cas.ForGood:
		return " until it is let go"
	case cas.Until.IsZero():
		return ""
	default:
		return " until " + cas.Until.UTC().Format(time.RFC3339)
	}
}

// orNone names an account; requests on public routes have none.
func orNone(account string) string {
	if account == "" {
		return "(public)"
	}
	return account
}
