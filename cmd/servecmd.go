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

// startTimeout bounds the start of the daemon.
const startTimeout = 15 * time.Second

// serveCmd runs the daemon.
type serveCmd struct {
	sub  *flaggy.Subcommand
	opts serveOptions
}

// serveOptions are the options of serve.
type serveOptions struct {
	settings string
	check    bool
}

func newServeCmd() *serveCmd {
	com := &serveCmd{sub: newSubcommand("serve", "run one host of the system",
		"    lynxwell serve --settings host.json\n    lynxwell serve --settings host.json --check")}
	com.sub.String(&com.opts.settings, "s", "settings", "file of settings, JSON with comments")
	com.sub.Bool(&com.opts.check, "c", "check", "check the settings and end")
	return com
}

func (com *serveCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *serveCmd) run(ctx context.Context, str streams) error {
	if com.opts.settings == "" {
		return &usageError{flag: "--settings", reason: "want a file"}
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
		fmt.Fprintf(str.out, "%s: settings are fit for use\n", com.opts.settings)
		return nil
	}
	return serve(ctx, set, log)
}

// serve runs the daemon until the context ends, then makes a planned stop.
func serve(ctx context.Context, set settings.Settings, log zerolog.Logger) error {
	app := fx.New(
		fx.Supply(set, log),
		fx.Provide(newStore, newHost),
		fx.Invoke(runHost),
		fx.StopTimeout(set.Timing.DrainLimit.Std()+startTimeout),
		fx.WithLogger(func() fxevent.Logger { return &fxLogger{log: log} }),
	)
	return runApp(ctx, app)
}

// runApp runs an application until the context ends, then stops it.
func runApp(ctx context.Context, app *fx.App) error {
	starting, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancel()
	if err := app.Start(starting); err != nil {
		return errors.Wrap(err, "start")
	}
	<-ctx.Done()
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancel()
	return errors.Wrap(app.Stop(stopping), "stop")
}

func newStore(set settings.Settings, log zerolog.Logger) store.Store {
	return platform.NewClient(platform.ClientConfig{
		Address:    set.PlatformAddress,
		PassedOver: func(err error) { log.Warn().Err(err).Msg("backend server's entry passed over") },
	})
}

func newHost(set settings.Settings, log zerolog.Logger, sto store.Store) (*host.Host, error) {
	return host.New(host.Config{Settings: set, Log: log, Store: sto})
}

// runHost ties the host to the daemon's life: its end is a planned stop.
func runHost(lic fx.Lifecycle, hos *host.Host, set settings.Settings) {
	lic.Append(fx.Hook{
		OnStart: hos.Start,
		OnStop: func(ctx context.Context) error {
			draining, cancel := context.WithTimeout(ctx, set.Timing.DrainLimit.Std())
			defer cancel()
			err := hos.Drain(draining)
			hos.Stop()
			return err
		},
	})
}

// fxLogger reports what fails in the start and the stop of the daemon.
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
		fxl.log.Error().Err(err).Str("Step", step).Msg("daemon step failed")
	}
}
