package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"lynxwell.dev/lynxwell/host"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/store"
)

// startTimeout is the time limit for the start of the daemon, and the time for its stop beyond
// the drain limit.
const startTimeout = 15 * time.Second

// serveCmd implements the serve command, which runs the daemon.
type serveCmd struct {
	sub  *flaggy.Subcommand
	opts serveOptions
}

// serveOptions holds the options of the serve command.
type serveOptions struct {
	settings string
	check    bool
}

func newServeCmd() *serveCmd {
	com := &serveCmd{sub: newSubcommand("serve", "run one host of the system",
		"    lynxwell serve --settings host.json\n    lynxwell serve --settings host.json --check")}
	com.sub.String(&com.opts.settings, "s", "settings", "settings file, JSON with comments")
	com.sub.Bool(&com.opts.check, "c", "check", "validate the settings and exit")
	return com
}

func (com *serveCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *serveCmd) run(ctx context.Context, str streams) error {
	if com.opts.settings == "" {
		return &usageError{name: "--settings", reason: "want a file"}
	}
	set, err := settings.Load(com.opts.settings)
	if err != nil {
		return err
	}
	log, err := newLogger(str.err, set.LogLevel)
	if err != nil {
		return err
	}
	if com.opts.check {
		fmt.Fprintf(str.out, "%s: settings are valid\n", com.opts.settings)
		return nil
	}
	return serve(ctx, set, log)
}

// serve runs the daemon until the context is done, then drains and stops it.
func serve(ctx context.Context, set settings.Settings, log zerolog.Logger) error {
	app := fx.New(
		fx.Supply(set, log),
		fx.Provide(newStore, newHost),
		fx.Invoke(appendHostHooks),
		fx.StopTimeout(set.Timing.DrainLimit.Std()+startTimeout),
		fx.WithLogger(func() fxevent.Logger { return &fxLogger{log: log} }),
	)
	return runApp(ctx, app)
}

// runApp starts an application, waits until the context is done, and stops it.
func runApp(ctx context.Context, app *fx.App) error {
	startCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return errors.Wrap(err, "start")
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancel()
	return errors.Wrap(app.Stop(stopCtx), "stop")
}

func newStore(set settings.Settings, log zerolog.Logger) store.Store {
	return platform.NewClient(platform.ClientConfig{
		Address: set.PlatformAddress,
		PassedOver: func(err error) {
			log.Warn().Err(err).Msg("invalid backend server entry in the platform's store ignored")
		},
	})
}

func newHost(set settings.Settings, log zerolog.Logger, sto store.Store) (*host.Host, error) {
	return host.New(host.Config{Settings: set, Log: log, Store: sto})
}

// appendHostHooks starts the host with the daemon, and drains and stops it when the daemon stops.
func appendHostHooks(lic fx.Lifecycle, hos *host.Host, set settings.Settings) {
	lic.Append(fx.Hook{
		OnStart: hos.Start,
		OnStop: func(ctx context.Context) error {
			drainCtx, cancel := context.WithTimeout(ctx, set.Timing.DrainLimit.Std())
			defer cancel()
			err := hos.Drain(drainCtx)
			hos.Stop()
			return err
		},
	})
}

// fxLogger logs errors during the start and the stop of the daemon.
type fxLogger struct {
	log zerolog.Logger
}

// LogEvent implements fxevent.Logger.
func (fxl *fxLogger) LogEvent(evt fxevent.Event) {
	switch evt := evt.(type) {
	case *fxevent.OnStartExecuted:
		fxl.report(evt.Err, "start")
	case *fxevent.OnStopExecuted:
		fxl.report(evt.Err, "stop")
	case *fxevent.Invoked:
		fxl.report(evt.Err, "assembly")
	}
}

func (fxl *fxLogger) report(err error, step string) {
	if err != nil {
		fxl.log.Error().Err(err).Str("Step", step).Msg("daemon start or stop step failed")
	}
}
