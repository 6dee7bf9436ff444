package cmd

import (
	"context"

	"github.com/integrii/flaggy"

	"lynxwell.dev/lynxwell/resource"
)

// deleteCmd implements the delete command, which removes a resource.
type deleteCmd struct {
	sub  *flaggy.Subcommand
	opts deleteOptions
}

// deleteOptions holds the options of the delete command.
type deleteOptions struct {
	hostOptions
	kind string
	name string
}

func newDeleteCmd() *deleteCmd {
	com := &deleteCmd{sub: newSubcommand("delete", "remove a resource", "    lynxwell delete Engine fast-1 --host 127.0.0.1:7003")}
	com.opts.addFlags(com.sub)
	com.sub.AddPositionalValue(&com.opts.kind, "KIND", 1, true, "Service, Engine, Tier or ClientAccount")
	com.sub.AddPositionalValue(&com.opts.name, "NAME", 2, true, "name of the resource")
	return com
}

func (com *deleteCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *deleteCmd) run(ctx context.Context, str streams) error {
	kin, err := resource.ParseKind(com.opts.kind)
	if err != nil {
		return &usageError{flag: "KIND", reason: err.Error()}
	}
	cli, err := com.opts.client()
	if err != nil {
		return err
	}
	defer cli.Close()
	ctx, cancel := context.WithTimeout(ctx, com.opts.timeout)
	defer cancel()
	res, err := cli.Delete(ctx, resource.Key{Kind: kin, Name: com.opts.name})
	if err != nil {
		return err
	}
	printChange(str.out, res)
	return nil
}
