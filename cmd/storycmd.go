package cmd

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"lynxwell.dev/lynxwell/story"
)

// storyCmd implements the story command, which prints what happened to one request.
type storyCmd struct {
	sub  *flaggy.Subcommand
	opts storyOptions
}

// storyOptions holds the options of the story command.
type storyOptions struct {
	id   string
	logs []string
}

func newStoryCmd() *storyCmd {
	com := &storyCmd{sub: newSubcommand("story", "print what happened to one request, from the hosts' logs",
		"    lynxwell story 9c41d07be2a35f68 --log host-1.log --log host-2.log\n    cat *.log | lynxwell story 9c41d07be2a35f68")}
	com.sub.AddPositionalValue(&com.opts.id, "REQUEST", 1, true, "the request's id")
	com.sub.StringSlice(&com.opts.logs, "l", "log", "log file of a host; repeatable (default: standard input)")
	return com
}

func (com *storyCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *storyCmd) run(_ context.Context, str streams) error {
	tli := story.NewTimeline(com.opts.id)
	if err := readLogs(tli, com.opts.logs, str.in); err != nil {
		return err
	}
	return tli.Write(str.out)
}

// readLogs reads the named files, or in if no file is named.
func readLogs(to logReader, names []string, in io.Reader) error {
	if len(names) == 0 {
		return to.Read(in)
	}
	for _, name := range names {
		if err := readLog(to, name); err != nil {
			return err
		}
	}
	return nil
}

func readLog(to logReader, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "--log")
	}
	defer file.Close()
	return to.Read(file)
}
