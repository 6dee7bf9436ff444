package cmd

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/integrii/flaggy"

	"lynxwell.dev/lynxwell/operator"
)

// watchCmd implements the watch command, which prints the status each time it changes.
type watchCmd struct {
	sub  *flaggy.Subcommand
	opts watchOptions
}

// watchOptions holds the options of the watch command.
type watchOptions struct {
	hostOptions
	json     bool
	revision uint64
}

func newWatchCmd() *watchCmd {
	com := &watchCmd{sub: newSubcommand("watch", "print the status each time it changes",
		"    lynxwell watch --host 127.0.0.1:7003\n    lynxwell watch --until-revision 12 --timeout 10s")}
	com.opts.addFlags(com.sub)
	com.sub.Bool(&com.opts.json, "j", "json", "print each status as one line of JSON")
	com.sub.UInt64(&com.opts.revision, "u", "until-revision", "exit when every host has this revision or a later one in force")
	return com
}

func (com *watchCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *watchCmd) run(ctx context.Context, str streams) error {
	cli, err := com.opts.client()
	if err != nil {
		return err
	}
	defer cli.Close()
	if com.opts.revision > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, com.opts.timeout)
		defer cancel()
	}
	err = cli.Watch(ctx, func(sta operator.Status) bool {
		com.print(str, sta)
		return com.opts.revision == 0 || !inForceOnAllHosts(sta, com.opts.revision)
	})
	if com.opts.revision == 0 && ctx.Err() != nil {
		return nil
	}
	return err
}

func (com *watchCmd) print(str streams, sta operator.Status) {
	if com.opts.json {
		// A Status can always be encoded, and writing to a closed standard output ends the process.
		_ = json.NewEncoder(str.out).Encode(sta)
		return
	}
	inForce := 0
	for _, hst := range sta.Hosts {
		if hst.Reached && hst.Problem == "" && hst.Revision == sta.Revision {
			inForce++
		}
	}
	fmt.Fprintf(str.out, "view %d, revision %d in force on %d of %d hosts\n", sta.View, sta.Revision, inForce, len(sta.Hosts))
}

// inForceOnAllHosts reports whether every host has the revision or a later one in force.
func inForceOnAllHosts(sta operator.Status, revision uint64) bool {
	for _, hst := range sta.Hosts {
		if !hst.Reached || hst.Revision < revision {
			return false
		}
	}
	return len(sta.Hosts) > 0
}
