package cmd

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/settings"
)

// checkCmd checks files before they are put in force.
type checkCmd struct {
	sub  *flaggy.Subcommand
	opts checkOptions
}

// checkOptions are the options of check.
type checkOptions struct {
	settings      string
	configuration string
}

func newCheckCmd() *checkCmd {
	com := &checkCmd{sub: newSubcommand("check", "check settings and a configuration for the users' platform",
		"    lynxwell check --settings entry.json\n    lynxwell check --configuration config.json")}
	com.sub.String(&com.opts.settings, "s", "settings", "file of a host's settings")
	com.sub.String(&com.opts.configuration, "f", "configuration", "file of a configuration, as operators write it to the store")
	return com
}

func (com *checkCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *checkCmd) run(_ context.Context, str streams) error {
	if com.opts.settings == "" && com.opts.configuration == "" {
		return &usageError{flag: "check", reason: "want --settings, --configuration or both"}
	}
	if com.opts.settings != "" {
		if _, err := settings.LoadEntry(com.opts.settings); err != nil {
			return err
		}
		fmt.Fprintf(str.out, "%s: settings are fit for use\n", com.opts.settings)
	}
	if com.opts.configuration != "" {
		return checkConfiguration(str, com.opts.configuration)
	}
	return nil
}

func checkConfiguration(str streams, name string) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return errors.Wrap(err, "--configuration")
	}
	con, err := platform.DecodeConfiguration(data)
	if err != nil {
		return errors.Wrap(err, name)
	}
	if _, err := route.NewTable(con); err != nil {
		return errors.Wrap(err, name)
	}
	unread := platform.UnreadFields(data)
	for _, field := range slices.Sorted(maps.Keys(unread)) {
		if unread[field] {
			fmt.Fprintf(str.out, "%s: passed over: unknown field %q\n", name, field)
		}
	}
	fmt.Fprintf(str.out, "%s: version %d is fit for use: %d routes, %d services, %d client accounts\n",
		name, con.Version, len(con.Routes), len(con.Services), len(con.Accounts))
	return nil
}
