package cmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"lynxwell.dev/lynxwell/operator"
	"lynxwell.dev/lynxwell/resource"
)

// applyCmd implements the apply command, which writes the resources of a file.
type applyCmd struct {
	sub  *flaggy.Subcommand
	opts applyOptions
}

// applyOptions holds the options of the apply command.
type applyOptions struct {
	hostOptions
	file   string
	dryRun bool
}

func newApplyCmd() *applyCmd {
	com := &applyCmd{sub: newSubcommand("apply", "write the resources of a file",
		"    lynxwell apply --file menus.json --host 127.0.0.1:7003 --key-file operator.key\n    lynxwell apply --file - --dry-run")}
	com.opts.addFlags(com.sub)
	com.sub.String(&com.opts.file, "f", "file", "file of resources, JSON with comments; - for standard input")
	com.sub.Bool(&com.opts.dryRun, "", "dry-run", "only parse and validate the file")
	return com
}

func (com *applyCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *applyCmd) run(ctx context.Context, str streams) error {
	set, err := readSet(str, com.opts.file)
	if err != nil {
		return err
	}
	if com.opts.dryRun {
		return dryRun(str, com.opts.file, set)
	}
	cli, err := com.opts.client()
	if err != nil {
		return err
	}
	defer cli.Close()
	ctx, cancel := context.WithTimeout(ctx, com.opts.timeout)
	defer cancel()
	res, err := cli.Apply(ctx, set)
	if err != nil {
		return err
	}
	printChange(str.out, res)
	return nil
}

func readSet(str streams, file string) (resource.Set, error) {
	var data []byte
	var err error
	switch file {
	case "":
		return resource.Set{}, &usageError{flag: "--file", reason: "want a file, or - for standard input"}
	case "-":
		data, err = io.ReadAll(str.in)
	default:
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return resource.Set{}, errors.Wrap(err, "--file")
	}
	return resource.ParseSet(file, data)
}

// dryRun validates the file as a complete configuration.
func dryRun(str streams, file string, set resource.Set) error {
	cha := resource.Change{ID: "dry-run"}
	for _, res := range set.Resources() {
		cha.Edits = append(cha.Edits, resource.Edit{Key: res.Key(), Resource: res})
	}
	if _, err := (resource.Configuration{}).With(cha); err != nil {
		return err
	}
	fmt.Fprintf(str.out, "%s: %d resources are valid\n", file, len(cha.Edits))
	return nil
}

func printChange(out io.Writer, res operator.ChangeResult) {
	if res.Unchanged {
		fmt.Fprintf(out, "unchanged, revision %d\n", res.Revision)
		return
	}
	fmt.Fprintf(out, "accepted, revision %d\n", res.Revision)
}
