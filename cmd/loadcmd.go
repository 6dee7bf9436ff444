package cmd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/integrii/flaggy"

	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/visitor"
)

// loadCmd implements the load command, which sends requests as clients on the users' platform do.
type loadCmd struct {
	sub  *flaggy.Subcommand
	opts loadOptions
}

// loadOptions holds the options of the load command.
type loadOptions struct {
	directories   []string
	hostName      string
	path          string
	key           string
	kind          string
	domain        string
	clients       int
	rate          float64
	length        time.Duration
	deadline      time.Duration
	latencyTarget time.Duration
	retries       int
	prompt        int
	answer        int
	seed          uint64
}

// The default options: a small load that any system can serve.
const (
	defaultClients       = 8
	defaultRate          = 20.0
	defaultDeadline      = 5 * time.Second
	defaultLatencyTarget = time.Second
)

func newLoadCmd() *loadCmd {
	com := &loadCmd{sub: newSubcommand("load", "send requests as clients on the users' platform do",
		"    lynxwell load --directory 10.1.0.25:8220 --host-name menus.example --path /rebuild/x --kind streaming --key KEY --prompt 2000 --answer 200 --rate 50 --for 30s")}
	opt := &com.opts
	opt.kind, opt.clients, opt.rate = "unsafe", defaultClients, defaultRate
	opt.length, opt.deadline, opt.latencyTarget, opt.retries = benchLength, defaultDeadline, defaultLatencyTarget, 1
	com.sub.StringSlice(&opt.directories, "d", "directory", "directory address of a host, IP:PORT; repeatable, the nearest first")
	com.sub.String(&opt.hostName, "", "host-name", "host name of the route")
	com.sub.String(&opt.path, "p", "path", "path and query of the requests")
	com.sub.String(&opt.key, "k", "key", "key of a client account")
	com.sub.String(&opt.kind, "", "kind", "unsafe, safe, streaming or resumable (default unsafe)")
	com.sub.String(&opt.domain, "", "domain", "failure domain of the clients")
	com.sub.Int(&opt.clients, "", "visitors", "number of clients (default 8)")
	com.sub.Float64(&opt.rate, "r", "rate", "total requests per second (default 20)")
	com.sub.Duration(&opt.length, "", "for", "time for which requests are sent (default 5s)")
	com.sub.Duration(&opt.deadline, "", "deadline", "client timeout (default 5s)")
	com.sub.Duration(&opt.latencyTarget, "", "aim", "latency target for the first part of an answer (default 1s)")
	com.sub.Int(&opt.retries, "", "retries", "maximum number of retries per request (default 1)")
	com.sub.Int(&opt.prompt, "", "prompt", "length of the prompt in tokens")
	com.sub.Int(&opt.answer, "", "answer", "maximum length of the answer in tokens")
	com.sub.UInt64(&opt.seed, "", "seed", "random seed for the choice of addresses and the send times")
	return com
}

func (com *loadCmd) subcommand() *flaggy.Subcommand { return com.sub }

// request returns the request that every client sends.
func (opt loadOptions) request() (visitor.Request, error) {
	req := visitor.Request{
		Path: opt.path, Key: opt.key, Deadline: opt.deadline, MaxRetries: opt.retries, PromptTokens: opt.prompt, MaxTokens: opt.answer,
	}
	switch opt.kind {
	case "unsafe":
	case "safe":
		req.Kind = route.KindSafe
	case "streaming":
		req.Kind = route.KindStreaming
	case "resumable":
		req.Kind, req.Resumable = route.KindStreaming, true
	default:
		return req, &usageError{name: "--kind", reason: "want unsafe, safe, streaming or resumable"}
	}
	if opt.path == "" || opt.hostName == "" || len(opt.directories) == 0 {
		return req, &usageError{name: "load", reason: "want --directory, --host-name and --path"}
	}
	return req, nil
}

func (com *loadCmd) run(ctx context.Context, str streams) error {
	req, err := com.opts.request()
	if err != nil {
		return err
	}
	var directories []netip.AddrPort
	for _, text := range com.opts.directories {
		adr, err := netip.ParseAddrPort(text)
		if err != nil {
			return &usageError{name: "--directory", reason: err.Error()}
		}
		directories = append(directories, adr)
	}
	results := com.send(ctx, directories, req)
	return report(str, results, com.opts.latencyTarget)
}

// send runs all clients for the length of the load and returns the results of their requests.
func (com *loadCmd) send(ctx context.Context, directories []netip.AddrPort, req visitor.Request) []visitor.Result {
	opt := com.opts
	finished := make(chan []visitor.Result)
	stop := time.Now().Add(opt.length)
	for num := range opt.clients {
		random := rand.New(rand.NewPCG(opt.seed, uint64(num)))
		cli := visitor.New(visitor.Config{
			Directories: directories, HostName: opt.hostName, Domain: opt.domain, Random: random, KeepAlive: num%2 == 0,
			Prefix: fmt.Sprintf("load-%d-%d-%d", time.Now().UnixNano(), opt.seed, num),
		})
		go func() {
			defer cli.Close()
			finished <- sendUntil(ctx, cli, req, stop, func() time.Duration {
				return time.Duration(random.ExpFloat64() * float64(opt.clients) / opt.rate * float64(time.Second))
			})
		}()
	}
	var results []visitor.Result
	for range opt.clients {
		results = append(results, <-finished...)
	}
	return results
}

// sendUntil sends requests one at a time until stop or until the context is done; gap returns
// the time between two intended send times.
func sendUntil(ctx context.Context, cli *visitor.Client, req visitor.Request, stop time.Time, gap func() time.Duration) []visitor.Result {
	var results []visitor.Result
	next := time.Now().Add(gap())
	for ctx.Err() == nil && next.Before(stop) {
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return results
		}
		results = append(results, cli.Send(ctx, req))
		next = next.Add(gap())
	}
	return results
}

// The maximum value of the latency histograms in microseconds (ten minutes), and their
// precision: three significant digits.
const (
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// report prints the outcomes and latencies of the requests.
func report(str streams, results []visitor.Result, latencyTarget time.Duration) error {
	first := hdrhistogram.New(1, maxMicros, significantDigits)
	complete := hdrhistogram.New(1, maxMicros, significantDigits)
	outcomes := make(map[string]int)
	inTime := 0
	for _, res := range results {
		att := res.Last()
		if !att.Served() {
			outcomes[outcomeOf(att)]++
			continue
		}
		outcomes["Served"]++
		toFirst := res.Took - att.Took + att.TimeToFirstByte
		if toFirst <= latencyTarget {
			inTime++
		}
		// Values are capped at the histogram's largest value, so recording them can't fail.
		_ = first.RecordValue(min(maxMicros, toFirst.Microseconds()))
		_ = complete.RecordValue(min(maxMicros, res.Took.Microseconds()))
	}
	tab := tabwriter.NewWriter(str.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tab, "Asked\t%d\nInAim\t%d\n", len(results), inTime)
	for _, name := range []string{"Served", "Refused", "Failed", "BrokenOff", "NotReached"} {
		fmt.Fprintf(tab, "%s\t%d\n", name, outcomes[name])
	}
	for _, quantile := range []float64{50, 95, 99} {
		fmt.Fprintf(tab, "First P%g\t%s\nWhole P%g\t%s\n", quantile, micros(first.ValueAtQuantile(quantile)), quantile, micros(complete.ValueAtQuantile(quantile)))
	}
	return tab.Flush()
}

func outcomeOf(att visitor.Attempt) string {
	switch {
	case att.Unsent:
		return "NotReached"
	case att.GuaranteesNotRun():
		return "Refused"
	case att.Err != nil:
		return "BrokenOff"
	default:
		return "Failed"
	}
}

func micros(value int64) time.Duration {
	return time.Duration(value) * time.Microsecond
}
