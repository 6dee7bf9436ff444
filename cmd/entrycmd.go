package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog/diode"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"lynxwell.dev/lynxwell/entry"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/store"
)

// logBufferLines is the number of log lines buffered for a slow log reader before the
// oldest are dropped. A busy host writes that many within a few seconds.
const logBufferLines = 4096

// entryCmd implements the entry command, which runs a host on the users' platform.
type entryCmd struct {
	sub  *flaggy.Subcommand
	opts entryOptions
	cfg  Config
	// hangups delivers the signals that reload the settings.
	hangups <-chan os.Signal
}

// nameEntry is the name of the entry command.
const nameEntry = "entry"

// entryOptions holds the options of the entry command.
type entryOptions struct {
	settings string
	check    bool
}

func newEntryCmd(cfg Config, hangups <-chan os.Signal) *entryCmd {
	com := &entryCmd{cfg: cfg, hangups: hangups, sub: newSubcommand(nameEntry, "run one host on the users' platform",
		"    lynxwell entry --settings entry.json\n    lynxwell entry --settings entry.json --check")}
	com.sub.String(&com.opts.settings, "s", "settings", "settings file, JSON with comments (default: the file named by the platform's environment variable)")
	com.sub.Bool(&com.opts.check, "c", "check", "validate the settings and exit")
	return com
}

func (com *entryCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *entryCmd) run(ctx context.Context, str streams) error {
	file := com.opts.settings
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	if file == "" {
		return &usageError{name: "--settings", reason: "want a file, here or in the environment variable " + platform.SettingsVariable}
	}
	set, err := settings.LoadEntry(file)
	if err != nil {
		return err
	}
	if com.opts.check {
		fmt.Fprintf(str.out, "%s: settings are valid\n", file)
		return nil
	}
	out := newLogWriter(str.out)
	defer out.Close()
	log, err := newLogger(out, set.LogLevel)
	if err != nil {
		return err
	}
	return runEntry(ctx, entry.Config{Settings: set, Log: log, EngineDialer: com.cfg.EngineDialer, PeerDialer: com.cfg.PeerDialer, SettingsFile: file, Hangups: com.hangups, LinesDropped: out.dropped.Load})
}

// logWriter is a log writer that never blocks. If the log's reader lags, it drops
// and counts the oldest lines.
type logWriter struct {
	diode.Writer
	dropped atomic.Int64
}

func newLogWriter(out io.Writer) *logWriter {
	low := &logWriter{}
	low.Writer = diode.NewWriter(out, logBufferLines, 0, func(missed int) { low.dropped.Add(int64(missed)) })
	return low
}

// runEntry runs the host until the context is done, then drains and stops it.
func runEntry(ctx context.Context, cfg entry.Config) error {
	app := fx.New(
		fx.Supply(cfg),
		fx.Provide(newEntryStore, newEntry),
		fx.Invoke(appendEntryHooks),
		fx.StopTimeout(cfg.Settings.Bounds.Grace()+time.Second),
		fx.WithLogger(func() fxevent.Logger { return &fxLogger{log: cfg.Log} }),
	)
	return runApp(ctx, app)
}

func newEntryStore(cfg entry.Config) store.Store {
	return platform.NewClient(platform.ClientConfig{Address: cfg.Settings.StoreAddress, HostKeys: true})
}

func newEntry(cfg entry.Config, sto store.Store) (*entry.Host, error) {
	cfg.Store = sto
	return entry.New(cfg)
}

// appendEntryHooks starts the host with the application, and drains and stops it
// when the application stops.
func appendEntryHooks(lic fx.Lifecycle, hos *entry.Host) {
	lic.Append(fx.Hook{
		OnStart: hos.Start,
		OnStop: func(ctx context.Context) error {
			err := hos.Drain(ctx)
			hos.Stop()
			return err
		},
	})
}
