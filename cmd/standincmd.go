package cmd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"lynxwell.dev/lynxwell/backendtest"
	"lynxwell.dev/lynxwell/enginetest"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// standinCmd implements the standin command, which runs a fake of one of the systems that lynxwell
// connects to.
type standinCmd struct {
	sub      *flaggy.Subcommand
	platform *flaggy.Subcommand
	engine   *flaggy.Subcommand
	backend  *flaggy.Subcommand
	upstream *flaggy.Subcommand
	opts     standinOptions
}

// standinOptions holds the options of the standin command.
type standinOptions struct {
	listen    netip.AddrPort
	hostsLag  time.Duration
	engineCfg enginetest.Config
	backCfg   backendtest.Config
	upCfg     upstreamtest.Config
}

func newStandinCmd() *standinCmd {
	com := &standinCmd{
		sub: newSubcommand("standin", "run a fake of a system that lynxwell connects to",
			"    lynxwell standin platform --listen 127.0.0.1:7100\n    lynxwell standin engine --listen 127.0.0.1:7200 --name fast-1 --slots 8\n    lynxwell standin backend --listen 127.0.0.1:7300 --name kitchen-1"),
		platform: newSubcommand("platform", "run a fake of the platform's key-value service", "    lynxwell standin platform --listen 127.0.0.1:7100"),
		engine:   newSubcommand("engine", "run a fake of a language-model engine", "    lynxwell standin engine --listen 127.0.0.1:7200 --name fast-1 --slots 8"),
		backend:  newSubcommand("backend", "run a fake of a plain service's backend server", "    lynxwell standin backend --listen 127.0.0.1:7300 --name kitchen-1"),
	}
	com.upstream = newSubcommand("upstream", "run a fake of an engine or backend server of the users' platform", "    lynxwell standin upstream --listen 127.0.0.1:7400 --id m1 --service model --events 8")
	com.upstream.String(&com.opts.upCfg.ID, "i", "id", "id of the engine's run, which names the engine's entry in the store")
	com.upstream.String(&com.opts.upCfg.Service, "", "service", "service of the engine")
	com.upstream.String(&com.opts.upCfg.CrashPart, "", "crash-part", "id of a part of prompts, in hexadecimal digits, that crashes the process unless it is the last part")
	com.upstream.String(&com.opts.upCfg.Version, "", "software-version", "version of the engine's software")
	com.upstream.String((*string)(&com.opts.upCfg.EventIDs), "", "event-ids", "how the events of a stream are numbered, such as FromZero; empty is from 1 on")
	com.upstream.Bool(&com.opts.upCfg.IgnoresLastEvent, "", "ignore-last-event", "begin each stream anew, whatever event it is to go on behind")
	com.upstream.Int(&com.opts.upCfg.Slots, "", "slots", "maximum number of concurrent requests; 0 is unlimited")
	com.upstream.Int(&com.opts.upCfg.Events, "", "events", "number of events in a stream; 0 answers without a stream")
	com.upstream.String(&com.opts.upCfg.CrashBody, "", "crash-body", "text in a request's body that crashes the process, as poison requests crash an engine")
	com.upstream.Duration(&com.opts.upCfg.Reading, "", "reading", "prefill time per prompt token")
	com.upstream.Duration(&com.opts.upCfg.Step, "", "step", "interval between events")
	for _, sub := range []*flaggy.Subcommand{com.platform, com.engine, com.backend, com.upstream} {
		sub.NetipAddrPort(&com.opts.listen, "l", "listen", "address to listen on, IP:PORT")
		com.sub.AttachSubcommand(sub, 1)
	}
	com.platform.Duration(&com.opts.hostsLag, "", "hosts-lag", "delay after which the host list shows a change")
	com.engineFlags()
	com.backend.String(&com.opts.backCfg.Name, "n", "name", "name of the backend server")
	com.backend.Duration(&com.opts.backCfg.Work, "w", "work", "processing time of a call")
	return com
}

func (com *standinCmd) engineFlags() {
	cfg := &com.opts.engineCfg
	com.engine.String(&cfg.Name, "n", "name", "name of the engine")
	com.engine.Int(&cfg.Slots, "", "slots", "maximum number of concurrent requests (default 4)")
	com.engine.Float64(&cfg.PrefillTokensPerSecond, "", "prefill", "prompt tokens per second (default 8000)")
	com.engine.Float64(&cfg.DecodeTokensPerSecond, "", "decode", "answer tokens per second of one stream (default 80)")
	com.engine.Float64(&cfg.BatchSlowdown, "", "batch-slowdown", "relative slowdown per additional stream (default 0.05)")
	com.engine.Int(&cfg.PrefixMemoryTokens, "", "prefix-memory", "capacity of the prompt prefix cache in tokens (default 65536)")
	com.engine.Duration(&cfg.LoadLag, "", "load-lag", "delay of load reports (default 200ms)")
	com.engine.Duration(&cfg.EventLag, "", "event-lag", "delay of cache events (default 500ms)")
	com.engine.Int(&cfg.EventGap, "", "event-gap", "drop every Nth cache event; 0 drops none")
}

func (com *standinCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *standinCmd) run(ctx context.Context, str streams) error {
	switch {
	case com.platform.Used:
		mem := platformtest.NewMemory(platformtest.MemoryConfig{HostsLag: com.opts.hostsLag})
		return serveStandin(ctx, str, com.opts.listen, platformtest.NewServer(mem).Handler())
	case com.engine.Used:
		return com.runEngine(ctx, str)
	case com.backend.Used:
		return serveStandin(ctx, str, com.opts.listen, backendtest.New(com.opts.backCfg).Handler())
	case com.upstream.Used:
		com.opts.upCfg.Crash = func() { os.Exit(exitFailure) }
		return serveStandin(ctx, str, com.opts.listen, upstreamtest.NewEngine(com.opts.upCfg).Handler())
	default:
		return &usageError{name: "standin", reason: "want platform, engine, backend or upstream"}
	}
}

func (com *standinCmd) runEngine(ctx context.Context, str streams) error {
	eng := enginetest.New(com.opts.engineCfg)
	engineCtx, cancel := context.WithCancel(ctx)
	end := make(chan struct{})
	go func() {
		eng.Run(engineCtx)
		close(end)
	}()
	err := serveStandin(ctx, str, com.opts.listen, eng.Handler())
	cancel()
	<-end
	return err
}

// serveStandin serves until the context is done. It prints the listen address, because
// the operating system chooses the port if the --listen flag gives port 0.
func serveStandin(ctx context.Context, str streams, adr netip.AddrPort, handler http.Handler) error {
	if !adr.IsValid() {
		return &usageError{name: "--listen", reason: "want IP:PORT"}
	}
	var cfg net.ListenConfig
	lis, err := cfg.Listen(ctx, "tcp", adr.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	fmt.Fprintf(str.out, "listening on %s\n", lis.Addr())
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	end := make(chan error, 1)
	go func() { end <- srv.Serve(lis) }()
	select {
	case err := <-end:
		return err
	case <-ctx.Done():
		err := srv.Close()
		<-end
		return err
	}
}
