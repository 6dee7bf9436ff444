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

// heldCmd implements the held command, which lists poison requests and releases one from quarantine.
type heldCmd struct {
	sub  *flaggy.Subcommand
	opts heldOptions
}

// heldOptions holds the options of the held command.
type heldOptions struct {
	entry   netip.AddrPort
	timeout time.Duration
	digest  string
}

func newHeldCmd() *heldCmd {
	com := &heldCmd{sub: newSubcommand("held", "list requests that crash engines, or release one from quarantine", "    lynxwell held --entry 10.1.0.25:7601\n    lynxwell held --entry 10.1.0.25:7601 --free 87383c4a3e4700b3e513b4d0fc388e8a")}
	com.opts.timeout = 5 * time.Second
	com.sub.NetipAddrPort(&com.opts.entry, "e", "entry", "metrics address of a host; the list of the coordinator is the most complete")
	com.sub.Duration(&com.opts.timeout, "t", "timeout", "time limit for each response")
	com.sub.String(&com.opts.digest, "f", "free", "digest of a request to release")
	return com
}

func (com *heldCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *heldCmd) run(ctx context.Context, str streams) error {
	if !com.opts.entry.IsValid() {
		return &usageError{name: "--entry", reason: "want the metrics address of a host"}
	}
	ctx, cancel := context.WithTimeout(ctx, com.opts.timeout)
	defer cancel()
	if com.opts.digest != "" {
		return com.release(ctx, str)
	}
	raw, err := fetchEntry(ctx, com.opts.entry, entry.PathDump)
	if err != nil {
		return err
	}
	var dum entry.Dump
	if err := json.Unmarshal(raw, &dum); err != nil {
		return errors.Wrap(err, "decode host dump")
	}
	return printCases(str.out, dum)
}

// release asks a host to release a request from quarantine.
func (com *heldCmd) release(ctx context.Context, str streams) error {
	dig, err := call.ParseDigest(com.opts.digest)
	if err != nil {
		return &usageError{name: "--free", reason: err.Error()}
	}
	target := url.URL{Scheme: "http", Host: com.opts.entry.String(), Path: entry.PathRelease, RawQuery: url.Values{"digest": {dig.String()}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), http.NoBody)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	rep, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer rep.Body.Close()
	body, err := io.ReadAll(rep.Body)
	if err != nil {
		return errors.Wrap(err, "read response body")
	}
	if rep.StatusCode != http.StatusOK {
		return errors.Newf("%s: %s", com.opts.entry, strings.TrimSpace(string(body)))
	}
	_, err = fmt.Fprintf(str.out, "%s is released\n", dig)
	return err
}

// printCases prints the quarantine cases of a host in the order of its dump, the highest level
// first, and then the restricted traffic sources.
func printCases(out io.Writer, dum entry.Dump) error {
	var text strings.Builder
	if len(dum.Scheduler.Cases)+len(dum.Scheduler.Restricted) == 0 {
		fmt.Fprintf(&text, "%s has no record of a request that crashed an engine\n", dum.Host)
	}
	for _, cas := range dum.Scheduler.Cases {
		fmt.Fprintf(&text, "%s %s%s\n", cas.Digest, cas.Level, heldUntil(cas))
		if cas.Part != "" {
			fmt.Fprintf(&text, "  part %s of prompts to service %s\n", cas.Part, cas.Service)
		} else {
			fmt.Fprintf(&text, "  account %s, route %s, service %s\n", accountOrPublic(cas.Account), cas.Route, cas.Service)
		}
		fmt.Fprintf(&text, "  crashed %s, ran exclusively on the last: %t, crashed another engine after %d holds\n", strings.Join(cas.Engines, " "), cas.Alone, cas.Trials)
	}
	for _, src := range dum.Scheduler.Restricted {
		fmt.Fprintf(&text, "isolated: all requests of account %s, route %s, service %s, because they crash engines with a new digest each time\n", accountOrPublic(src.Account), src.Route, src.Service)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// heldUntil describes when the hold on a request ends; it is empty for a request that isn't held.
func heldUntil(cas scheduler.CaseDump) string {
	switch {
	case cas.ForGood:
		return " until it is released"
	case cas.Until.IsZero():
		return ""
	default:
		return " until " + cas.Until.UTC().Format(time.RFC3339)
	}
}

// accountOrPublic returns the account's name, or "(public)" for requests on public routes, which
// have no account.
func accountOrPublic(account string) string {
	if account == "" {
		return "(public)"
	}
	return account
}
