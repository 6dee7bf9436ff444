package load

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/engine"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/task"
)

// Config is the configuration of a run.
type Config struct {
	// Clients maps the names of client accounts to their clients.
	Clients map[string]*Client
	Kinds   []Kind
	// For is the time for which requests are sent; the run ends after the last answer.
	For  time.Duration
	Seed uint64
	// Progress, if set, is called after every finished request.
	Progress func(Counts)
}

// Counts are the totals of a run.
type Counts struct {
	// Sent is the number of requests in the run, including those that aren't sent yet.
	Sent int
	// Ended counts the requests finished so far, Whole those of them with their own complete
	// answer.
	Ended int
	Whole int
}

// Result is a finished request with its answer.
type Result struct {
	Kind   Kind
	Answer Answer
	// Own is set if the answer is the expected answer to this request.
	Own bool
}

// Run sends the load and returns the result of every request in the order of the
// intended send times.
func Run(ctx context.Context, cfg Config) ([]Result, error) {
	arrivals, err := planArrivals(cfg)
	if err != nil {
		return nil, err
	}
	type indexedResult struct {
		index  int
		result Result
	}
	results := make(chan indexedResult)
	start := time.Now()
	go func() {
		for idx, arr := range arrivals {
			task.Sleep(ctx, time.Until(start.Add(arr.at)))
			arr.sample.request.Intended = start.Add(arr.at)
			go func() {
				cli := cfg.Clients[arr.sample.kind.Account]
				ans := cli.Send(ctx, arr.sample.request)
				results <- indexedResult{idx, Result{Kind: arr.sample.kind, Answer: ans, Own: ans.Whole && arr.sample.matches(ans)}}
			}()
		}
	}()
	all := make([]Result, len(arrivals))
	counts := Counts{Sent: len(arrivals)}
	for range arrivals {
		res := <-results
		res.result.Answer.Body = nil
		all[res.index] = res.result
		counts.Ended++
		if res.result.Own {
			counts.Whole++
		}
		if cfg.Progress != nil {
			cfg.Progress(counts)
		}
	}
	return all, nil
}

// arrival is one request and its send time, relative to the start of the run.
type arrival struct {
	at     time.Duration
	sample sample
}

// planArrivals generates every arrival of the run in advance, so that the arrivals depend on
// nothing but the kinds and the seed.
func planArrivals(cfg Config) ([]arrival, error) {
	var arrivals []arrival
	for num, kin := range cfg.Kinds {
		if cfg.Clients[kin.Account] == nil {
			return nil, errors.Newf("kind %s: there is no client for account %q", kin.Name, kin.Account)
		}
		random := rand.New(rand.NewPCG(cfg.Seed, uint64(num)))
		at := time.Duration(0)
		for count := 0; ; count++ {
			at += time.Duration(random.ExpFloat64() / kin.PerSecond * float64(time.Second))
			if at >= cfg.For {
				break
			}
			smp, err := kin.newSample(random, count)
			if err != nil {
				return nil, errors.Wrapf(err, "kind %s", kin.Name)
			}
			arrivals = append(arrivals, arrival{at: at, sample: smp})
		}
	}
	slices.SortStableFunc(arrivals, func(one, two arrival) int { return int(one.at - two.at) })
	return arrivals, nil
}

// Audit compares the dispatches that engines and backend servers received with the outcomes
// reported to clients.
type Audit struct {
	// Dispatches counts all dispatches to engines and backend servers, Requests the
	// distinct request ids among them.
	Dispatches int
	Requests   int
	// Doubled names the ids that were dispatched more than once, each with the method and
	// path of its second dispatch.
	Doubled []string
	// FalselyNotRun are ids that were reported as NotRun although they were dispatched.
	FalselyNotRun []string
	// Mixed counts requests whose complete answer is not the expected one but, for
	// example, another request's.
	Mixed int
	// PrefillTokens is the number of prompt tokens that engines processed,
	// WastedTokens the number of those processed for requests that didn't get their
	// own complete answer.
	PrefillTokens int
	WastedTokens  int
	// WastedByTier is WastedTokens by tier. Dispatches under ids that no request of the run
	// used count under the empty tier.
	WastedByTier map[string]int
}

// AuditRun returns the audit of a run.
func AuditRun(results []Result, dispatches []engine.DispatchRecord) Audit {
	aud := Audit{Dispatches: len(dispatches), WastedByTier: make(map[string]int)}
	owner := make(map[string]Result)
	reported := make(map[string]request.Outcome)
	for _, res := range results {
		for _, id := range res.Answer.IDs {
			owner[id.String()] = res
		}
		for id, outcome := range res.Answer.Told {
			reported[id.String()] = outcome
		}
		if res.Answer.Whole && !res.Own {
			aud.Mixed++
		}
	}
	seen := make(map[string]int)
	for _, dis := range dispatches {
		seen[dis.ID]++
		if seen[dis.ID] == 2 {
			aud.Doubled = append(aud.Doubled, dis.ID+" by "+dis.Call)
		}
		if seen[dis.ID] == 1 && reported[dis.ID] == request.NotRun {
			aud.FalselyNotRun = append(aud.FalselyNotRun, dis.ID)
		}
		aud.PrefillTokens += dis.PrefillTokens
		if res, known := owner[dis.ID]; !known || !res.Own {
			aud.WastedTokens += dis.PrefillTokens
			aud.WastedByTier[res.Kind.Tier] += dis.PrefillTokens
		}
	}
	aud.Requests = len(seen)
	return aud
}
