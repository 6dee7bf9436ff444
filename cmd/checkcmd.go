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

// checkCmd implements the check command, which validates settings and configuration files.
type checkCmd struct {
	sub  *flaggy.Subcommand
	opts checkOptions
}

// checkOptions holds the options of the check command.
type checkOptions struct {
	settings      string
	configuration string
}

func newCheckCmd() *checkCmd {
	com := &checkCmd{sub: newSubcommand("check", "validate settings and a configuration for the users' platform",
		"    lynxwell check --settings entry.json\n    lynxwell check --configuration config.json")}
	com.sub.String(&com.opts.settings, "s", "settings", "settings file of a host")
	com.sub.String(&com.opts.configuration, "f", "configuration", "configuration file, in the form that operators write to the store")
	return com
}

func (com *checkCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *checkCmd) run(_ context.Context, str streams) error {
	if com.opts.settings == "" && com.opts.configuration == "" {
		return &usageError{name: "check", reason: "want --settings, --configuration or both"}
	}
	if com.opts.settings != "" {
		if _, err := settings.LoadEntry(com.opts.settings); err != nil {
			return err
		}
		fmt.Fprintf(str.out, "%s: settings are valid\n", com.opts.settings)
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
	unused := platform.UnusedFields(data)
	for _, field := range slices.Sorted(maps.Keys(unused)) {
		if unused[field] {
			fmt.Fprintf(str.out, "%s: ignored: unknown field %q\n", name, field)
		}
	}
	fmt.Fprintf(str.out, "%s: version %d is valid: %d routes, %d services, %d client accounts\n",
		name, con.Version, len(con.Routes), len(con.Services), len(con.Accounts))
	return nil
}
