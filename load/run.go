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

// Config holds what a run is made from.
type Config struct {
	// Clients are the callers by client account.
	Clients map[string]*Client
	Kinds   []Kind
	// For is how long requests are sent; the run ends when the last is answered.
	For  time.Duration
	Seed uint64
	// Progress, when set, is called after every request that ended.
	Progress func(Counts)
}

// Counts are the totals so far.
type Counts struct {
	Sent  int
	Ended int
	Whole int
}

// Ended is one request with what became of it.
type Ended struct {
	Kind   Kind
	Answer Answer
	// Own is set when the answer is the one to this very request.
	Own bool
}

// Run sends the load and returns what became of every request, in the order in
// which they were meant to be sent.
func Run(ctx context.Context, cfg Config) ([]Ended, error) {
	arrivals, err := plan(cfg)
	if err != nil {
		return nil, err
	}
	type numbered struct {
		index int
		ended Ended
	}
	ends := make(chan numbered)
	start := time.Now()
	go func() {
		for idx, arr := range arrivals {
			task.Sleep(ctx, time.Until(start.Add(arr.at)))
			arr.shot.request.Intended = start.Add(arr.at)
			go func() {
				cli := cfg.Clients[arr.shot.kind.Account]
				ans := cli.Send(ctx, arr.shot.request)
				ends <- numbered{idx, Ended{Kind: arr.shot.kind, Answer: ans, Own: ans.Whole && arr.shot.isOwn(ans)}}
			}()
		}
	}()
	all := make([]Ended, len(arrivals))
	counts := Counts{Sent: len(arrivals)}
	for range arrivals {
		end := <-ends
		end.ended.Answer.Body = nil
		all[end.index] = end.ended
		counts.Ended++
		if end.ended.Own {
			counts.Whole++
		}
		if cfg.Progress != nil {
			cfg.Progress(counts)
		}
	}
	return all, nil
}

// arrival is one request and when it is meant to be sent.
type arrival struct {
	at   time.Duration
	shot shot
}

// plan draws every arrival of the run beforehand, from the seed alone.
func plan(cfg Config) ([]arrival, error) {
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
			sho, err := kin.shot(random, count)
			if err != nil {
				return nil, errors.Wrapf(err, "kind %s", kin.Name)
			}
			arrivals = append(arrivals, arrival{at: at, shot: sho})
		}
	}
	slices.SortStableFunc(arrivals, func(one, two arrival) int { return int(one.at - two.at) })
	return arrivals, nil
}

// Audit compares what the engines received with what the callers were told.
type Audit struct {
	// Dispatches counts all dispatches at the engines, Requests the distinct
	// ids among them.
	Dispatches int
	Requests   int
	// Doubled are ids that were dispatched more than once.
	Doubled []string
	// FalselyNotRun are ids of which a caller was told NotRun and which ran.
	FalselyNotRun []string
	// Mixed counts whole answers that weren't the caller's own.
	Mixed int
	// PrefillTokens is all prompt work done, WastedTokens what of it led to no
	// whole answer.
	PrefillTokens int
	WastedTokens  int
	WastedByTier  map[string]int
}

// AuditRun makes the comparison.
func AuditRun(ended []Ended, dispatches []engine.DispatchRecord) Audit {
	aud := Audit{Dispatches: len(dispatches), WastedByTier: make(map[string]int)}
	owner := make(map[string]Ended)
	told := make(map[string]request.Outcome)
	for _, end := range ended {
		for _, id := range end.Answer.IDs {
			owner[id.String()] = end
		}
		for id, outcome := range end.Answer.Told {
			told[id.String()] = outcome
		}
		if end.Answer.Whole && !end.Own {
			aud.Mixed++
		}
	}
	seen := make(map[string]int)
	for _, dis := range dispatches {
		seen[dis.ID]++
		if seen[dis.ID] == 2 {
			aud.Doubled = append(aud.Doubled, dis.ID+" by "+dis.Call)
		}
		if seen[dis.ID] == 1 && told[dis.ID] == request.NotRun {
			aud.FalselyNotRun = append(aud.FalselyNotRun, dis.ID)
		}
		aud.PrefillTokens += dis.PrefillTokens
		if end, known := owner[dis.ID]; !known || !end.Own {
			aud.WastedTokens += dis.PrefillTokens
			aud.WastedByTier[end.Kind.Tier] += dis.PrefillTokens
		}
	}
	aud.Requests = len(seen)
	return aud
}
