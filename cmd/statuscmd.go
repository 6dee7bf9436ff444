package cmd

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"lynxwell.dev/lynxwell/format"
	"lynxwell.dev/lynxwell/operator"
)

// statusCmd implements the status command, which prints the status that the hosts report.
type statusCmd struct {
	sub  *flaggy.Subcommand
	opts statusOptions
}

// statusOptions holds the options of the status command.
type statusOptions struct {
	hostOptions
	json bool
}

func newStatusCmd() *statusCmd {
	com := &statusCmd{sub: newSubcommand("status", "print the status that the hosts report", "    lynxwell status --host 127.0.0.1:7003")}
	com.opts.addFlags(com.sub)
	com.sub.Bool(&com.opts.json, "j", "json", "print the complete status as JSON")
	return com
}

func (com *statusCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *statusCmd) run(ctx context.Context, str streams) error {
	cli, err := com.opts.client()
	if err != nil {
		return err
	}
	defer cli.Close()
	ctx, cancel := context.WithTimeout(ctx, com.opts.timeout)
	defer cancel()
	sta, err := cli.Status(ctx)
	if err != nil {
		return err
	}
	if com.opts.json {
		data, err := format.Encode(sta)
		if err != nil {
			return err
		}
		_, err = str.out.Write(data)
		return err
	}
	return printStatus(str.out, sta)
}

func printStatus(out io.Writer, sta operator.Status) error {
	fmt.Fprintf(out, "view %d, revision %d\n\n", sta.View, sta.Revision)
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "Host\tDomain\tView\tRevision\tLeaving\tProblem")
	for _, hst := range sta.Hosts {
		fmt.Fprintf(tab, "%s\t%s\t%d\t%d\t%t\t%s\n", hst.Name, hst.Domain, hst.View, hst.Revision, hst.Leaving, hst.Problem)
	}
	fmt.Fprintln(tab, "\nResource\tRevision\tCondition\tHolds\tReason")
	for _, res := range sta.Resources {
		for _, con := range res.Conditions {
			fmt.Fprintf(tab, "%s/%s\t%d\t%s\t%t\t%s\n", res.Kind, res.Name, res.Revision, con.Type, con.Status, con.Reason)
		}
	}
	return tab.Flush()
}
