package cmd

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"lynxwell.dev/lynxwell/format"
	"lynxwell.dev/lynxwell/operator"
	"lynxwell.dev/lynxwell/resource"
)

// getCmd implements the get command, which prints resources.
type getCmd struct {
	sub  *flaggy.Subcommand
	opts getOptions
}

// getOptions holds the options of the get command.
type getOptions struct {
	hostOptions
	kind string
	name string
	json bool
}

func newGetCmd() *getCmd {
	com := &getCmd{sub: newSubcommand("get", "print resources",
		"    lynxwell get --host 127.0.0.1:7003\n    lynxwell get Engine fast-1 --json")}
	com.opts.addFlags(com.sub)
	com.sub.AddPositionalValue(&com.opts.kind, "KIND", 1, false, "Service, Engine, Tier or ClientAccount")
	com.sub.AddPositionalValue(&com.opts.name, "NAME", 2, false, "name of a resource")
	com.sub.Bool(&com.opts.json, "j", "json", "print the complete resources as JSON")
	return com
}

func (com *getCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *getCmd) run(ctx context.Context, str streams) error {
	if com.opts.kind != "" {
		if _, err := resource.ParseKind(com.opts.kind); err != nil {
			return &usageError{flag: "KIND", reason: err.Error()}
		}
	}
	cli, err := com.opts.client()
	if err != nil {
		return err
	}
	defer cli.Close()
	ctx, cancel := context.WithTimeout(ctx, com.opts.timeout)
	defer cancel()
	list, err := cli.Resources(ctx)
	if err != nil {
		return err
	}
	list.Entries = com.matching(list.Entries)
	if com.opts.name != "" && len(list.Entries) == 0 {
		return &operator.AnswerError{Body: operator.ErrorBody{Code: operator.CodeNotFound, Message: "there is no " + com.opts.kind + "/" + com.opts.name}}
	}
	return com.print(str, list)
}

func (com *getCmd) matching(entries []resource.Entry) []resource.Entry {
	var matches []resource.Entry
	for _, ent := range entries {
		key := ent.Resource.Key()
		wanted := com.opts.kind == "" || string(key.Kind) == com.opts.kind
		if wanted && (com.opts.name == "" || key.Name == com.opts.name) {
			matches = append(matches, ent)
		}
	}
	return matches
}

func (com *getCmd) print(str streams, list operator.EntryList) error {
	if com.opts.json {
		data, err := format.Encode(list)
		if err != nil {
			return err
		}
		_, err = str.out.Write(data)
		return err
	}
	tab := tabwriter.NewWriter(str.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "Kind\tName\tRevision")
	for _, ent := range list.Entries {
		key := ent.Resource.Key()
		fmt.Fprintf(tab, "%s\t%s\t%d\n", key.Kind, key.Name, ent.Revision)
	}
	return tab.Flush()
}
