package cmd

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"lynxwell.dev/lynxwell/story"
)

// storyCmd tells what happened to one request.
type storyCmd struct {
	sub  *flaggy.Subcommand
	opts storyOptions
}

// storyOptions are the options of story.
type storyOptions struct {
	id   string
	logs []string
}

func newStoryCmd() *storyCmd {
	com := &storyCmd{sub: newSubcommand("story", "tell what happened to one request, from the hosts' logs",
		"    lynxwell story 9c41d07be2a35f68 --log host-1.log --log host-2.log\n    cat *.log | lynxwell story 9c41d07be2a35f68")}
	com.sub.AddPositionalValue(&com.opts.id, "REQUEST", 1, true, "the request's id")
	com.sub.StringSlice(&com.opts.logs, "l", "log", "file of a host's log; may be given again; else the standard input")
	return com
}

func (com *storyCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *storyCmd) run(_ context.Context, str streams) error {
	tel := story.NewTeller(com.opts.id)
	if err := readLogs(tel, com.opts.logs, str.in); err != nil {
		return err
	}
	return tel.Write(str.out)
}

// readLogs reads the files, or the standard input where none is named.
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
