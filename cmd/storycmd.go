package cmd

import (
	"context"
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
	if len(com.opts.logs) == 0 {
		if err := tel.Read(str.in); err != nil {
			return err
		}
	}
	for _, name := range com.opts.logs {
		if err := readLog(tel, name); err != nil {
			return err
		}
	}
	return tel.Write(str.out)
}

func readLog(tel *story.Teller, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "--log")
	}
	defer file.Close()
	return tel.Read(file)
}
