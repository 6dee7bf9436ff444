// Package cmd implements the commands of the lynxwell program, one per file.
//
// # Usage
//
//	code := cmd.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
//
// The exit code is 0 for success, 1 for a failure, 2 for an invalid command line,
// environment variable or log level, and 3 for a conflict with another operator's
// change.
package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/operator"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/upstream"
)

// Version is the program's version.
const Version = "0.1.0"

// The exit codes.
const (
	exitSuccess  = 0
	exitFailure  = 1
	exitUsage    = 2
	exitConflict = 3
)

// streams holds the standard streams of a command.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// command is one command of the program.
type command interface {
	// subcommand returns the definition of the command's flags and arguments.
	subcommand() *flaggy.Subcommand
	// run executes the command.
	run(ctx context.Context, str streams) error
}

// Config holds the dependencies that a test replaces; the zero Config is that of the program.
type Config struct {
	// EngineDialer opens the entry command's connections to engines and backend servers; nil for the
	// default one.
	EngineDialer upstream.Dialer
	// PeerDialer opens the entry command's connections to other hosts; nil for the default one.
	PeerDialer peer.Dialer
}

// commands returns all commands in the order in which the help lists them.
func commands(cfg Config, hangups <-chan os.Signal) []command {
	return []command{
		newDemoCmd(),
		newServeCmd(),
		newEntryCmd(cfg, hangups),
		newCheckCmd(),
		newStoryCmd(),
		newLossesCmd(),
		newRolloutCmd(), newHeldCmd(), newEvacuationCmd(),
		newLoadCmd(),
		newStandinCmd(),
		newBenchCmd(),
		newAddressesCmd(),
		newApplyCmd(),
		newGetCmd(),
		newDeleteCmd(),
		newWatchCmd(),
		newStatusCmd(),
		newDumpCmd(),
		newKeyCmd(),
		newVersionCmd(),
	}
}

// Run executes the command that the arguments name and returns its exit code.
func Run(args []string, in io.Reader, out, errOut io.Writer) int {
	return RunWith(Config{}, args, in, out, errOut)
}

// RunWith is Run with other dependencies.
func RunWith(cfg Config, args []string, in io.Reader, out, errOut io.Writer) int {
	str := streams{in: in, out: out, err: errOut}
	hangups, stop := receiveHangups(args)
	defer stop()
	all := commands(cfg, hangups)
	parser := newParser(all)
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(errOut, "lynxwell:", err)
		return exitUsage
	}
	for _, com := range all {
		if com.subcommand().Used {
			return runCommand(com, str)
		}
	}
	parser.ShowHelp()
	return exitUsage
}

// receiveHangups returns the hangup signals to the entry command. They are received before anything else is
// done, since a hangup ends a process that doesn't receive it.
func receiveHangups(args []string) (hangups <-chan os.Signal, stop func()) {
	if len(args) == 0 || args[0] != nameEntry {
		return nil, func() {}
	}
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP)
	return received, func() { signal.Stop(received) }
}

func newParser(all []command) *flaggy.Parser {
	parser := flaggy.NewParser("lynxwell")
	parser.Description = "A request scheduler for language-model engines of unequal speed."
	parser.Version = Version
	parser.DisableShowVersionWithVersion()
	parser.AdditionalHelpAppend = "\n  Examples:\n    lynxwell demo\n    lynxwell serve --settings host.json\n    lynxwell apply --file menus.json --host 127.0.0.1:7003 --key-file operator.key"
	for _, com := range all {
		parser.AttachSubcommand(com.subcommand(), 1)
	}
	return parser
}

func runCommand(com command, str streams) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := com.run(ctx, str)
	if err == nil {
		return exitSuccess
	}
	fmt.Fprintln(str.err, "lynxwell:", err)
	var aer *operator.AnswerError
	if errors.As(err, &aer) && aer.Body.Code == operator.CodeConflict {
		return exitConflict
	}
	var uer *usageError
	if errors.As(err, &uer) {
		return exitUsage
	}
	return exitFailure
}

// usageError reports an invalid flag, argument or environment variable, an invalid LogLevel,
// or a command without the flags that it requires.
type usageError struct {
	// name is the name of the flag, argument, variable, setting or command.
	name   string
	reason string
}

func (uer *usageError) Error() string {
	return uer.name + ": " + uer.reason
}

func newSubcommand(name, description, examples string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.AdditionalHelpAppend = "\n  Examples:\n" + examples
	return sub
}

// timeFormat is the format of log times. It includes milliseconds so that the
// events of a request within one second can be ordered.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func newLogger(out io.Writer, level string) (zerolog.Logger, error) {
	if level == "" {
		level = zerolog.InfoLevel.String()
	}
	lev, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), &usageError{name: "LogLevel", reason: err.Error()}
	}
	zerolog.TimeFieldFormat = timeFormat
	return zerolog.New(out).Level(lev).With().Timestamp().Logger(), nil
}
