package cmd

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/bench"
	"lynxwell.dev/lynxwell/format"
)

// benchCmd implements the bench command, which measures a complete system in this process.
type benchCmd struct {
	sub      *flaggy.Subcommand
	overhead *flaggy.Subcommand
	capacity *flaggy.Subcommand
	opts     benchOptions
}

// benchOptions holds the options of the bench command.
type benchOptions struct {
	json      bool
	length    time.Duration
	inFlight  []int
	hosts     []int
	rates     []float64
	accounts  int
	heartbeat time.Duration
}

// benchLength is the default length of each measurement.
const benchLength = 5 * time.Second

func newBenchCmd() *benchCmd {
	com := &benchCmd{
		sub:      newSubcommand("bench", "measure a complete system in this process", "    lynxwell bench overhead\n    lynxwell bench capacity --hosts 6 --hosts 24 --rate 0 --rate 7"),
		overhead: newSubcommand("overhead", "compare requests through lynxwell with requests sent directly to an engine", "    lynxwell bench overhead --in-flight 1 --in-flight 64"),
		capacity: newSubcommand("capacity", "measure how control traffic grows with hosts and requests", "    lynxwell bench capacity --hosts 6 --hosts 24 --rate 0 --rate 7"),
	}
	com.opts.length = benchLength
	for _, sub := range []*flaggy.Subcommand{com.overhead, com.capacity} {
		sub.Bool(&com.opts.json, "j", "json", "print the result as JSON")
		sub.Duration(&com.opts.length, "", "for", "length of each measurement (default 5s)")
		com.sub.AttachSubcommand(sub, 1)
	}
	com.overhead.IntSlice(&com.opts.inFlight, "", "in-flight", "requests in flight; repeatable (default 1, 64, 512)")
	com.capacity.IntSlice(&com.opts.hosts, "", "hosts", "number of hosts; repeatable (default 6, 12, 24)")
	com.capacity.Float64Slice(&com.opts.rates, "", "rate", "requests per second per host; repeatable (default 0, 3.5, 7)")
	com.capacity.Int(&com.opts.accounts, "", "accounts", "number of client accounts in the configuration")
	com.capacity.Duration(&com.opts.heartbeat, "", "heartbeat", "heartbeat interval of idle sessions (default 500ms)")
	return com
}

func (com *benchCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *benchCmd) run(ctx context.Context, str streams) error {
	log, err := newLogger(str.err, zerolog.ErrorLevel.String())
	if err != nil {
		return err
	}
	switch {
	case com.overhead.Used:
		return com.runOverhead(ctx, str, log)
	case com.capacity.Used:
		return com.runCapacity(ctx, str, log)
	default:
		return &usageError{name: "bench", reason: "want overhead or capacity"}
	}
}

func (com *benchCmd) runOverhead(ctx context.Context, str streams, log zerolog.Logger) error {
	if len(com.opts.inFlight) == 0 {
		com.opts.inFlight = []int{1, 64, 512}
	}
	rows, err := bench.Overhead(ctx, bench.OverheadConfig{InFlight: com.opts.inFlight, For: com.opts.length, Log: log})
	if err != nil {
		return err
	}
	if com.opts.json {
		return printJSON(str, rows)
	}
	tab := tabwriter.NewWriter(str.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tab, "InFlight\tDirect/s\tThrough/s\tDirectP50\tThroughP50\tAdded\tRatio\tDirectP99\tThroughP99\tAdded\tRatio\t")
	for _, row := range rows {
		fmt.Fprintf(tab, "%d\t%.0f\t%.0f\t%s\t%s\t%s\t%.2f\t%s\t%s\t%s\t%.2f\t\n", row.InFlight, row.DirectRate, row.Rate,
			row.DirectP50, row.P50, row.P50-row.DirectP50, ratio(row.P50, row.DirectP50),
			row.DirectP99, row.P99, row.P99-row.DirectP99, ratio(row.P99, row.DirectP99))
	}
	return tab.Flush()
}

func ratio(num, den time.Duration) float64 {
	if den == 0 {
		return 0
	}
	return float64(num) / float64(den)
}

func (com *benchCmd) runCapacity(ctx context.Context, str streams, log zerolog.Logger) error {
	if len(com.opts.hosts) == 0 {
		com.opts.hosts = []int{6, 12, 24}
	}
	if len(com.opts.rates) == 0 {
		com.opts.rates = []float64{0, 3.5, 7}
	}
	cfg := bench.CapacityConfig{
		Hosts: com.opts.hosts, Rates: com.opts.rates, Accounts: com.opts.accounts,
		For: com.opts.length, Heartbeat: com.opts.heartbeat, Log: log,
	}
	if !com.opts.json {
		fmt.Fprintf(str.out, "%6s %6s %11s %10s %6s %8s %11s %9s %11s %14s %6s %6s\n", "Hosts", "Rate", "ControlB/s", "B/request",
			"CPU%", "HeapKB", "Goroutines", "Sessions", "Platform/s", "Configuration", "Whole", "Sent")
	}
	rows, err := bench.Capacity(ctx, cfg, func(row bench.CapacityRow) {
		if !com.opts.json {
			printCapacity(str, row)
		}
	})
	if err != nil {
		return err
	}
	if com.opts.json {
		return printJSON(str, rows)
	}
	return nil
}

func printCapacity(str streams, row bench.CapacityRow) {
	fmt.Fprintf(str.out, "%6d %6.1f %11.0f %10.0f %6.2f %8.0f %11.0f %9.0f %11.1f %14s %6d %6d\n", row.Hosts, row.Rate, row.ControlBytes,
		row.BytesARequest, row.CPU, row.HeapBytes/1024, row.Goroutines, row.Sessions, row.PlatformCalls,
		row.ConfigurationTime.Round(time.Millisecond), row.Whole, row.Sent)
}

func printJSON(str streams, value any) error {
	data, err := format.Encode(value)
	if err != nil {
		return err
	}
	_, err = str.out.Write(data)
	return err
}
