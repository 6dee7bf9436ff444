package load

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The maximum value of the histograms in microseconds, and their significant digits.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Report summarizes a run.
type Report struct {
	Tiers []TierReport
	Audit Audit
	// Codes counts the requests without their own complete answer. A key is the kind, a space and
	// the error code: NotOwn for an unexpected complete answer, NoAnswer if there is no code.
	Codes map[string]int
}

// TierReport summarizes the requests of one tier.
type TierReport struct {
	Tier string
	Sent int
	// Whole counts requests with their own complete answer, InTime those of them whose answer
	// was complete within the deadline.
	Whole  int
	InTime int
	// GivenUp counts requests whose final answer was an error with an outcome.
	GivenUp int
	// Lost counts all other requests: those without an answer, with an error without an
	// outcome, or with the answer to another request.
	Lost          int
	Repeats       int
	FirstTokenP50 time.Duration
	FirstTokenP99 time.Duration
	WastedTokens  int
}

// Summarize returns the report of a run.
func Summarize(results []Result, aud Audit) Report {
	rep := Report{Audit: aud, Codes: make(map[string]int)}
	byTier := make(map[string][]Result)
	for _, res := range results {
		byTier[res.Kind.Tier] = append(byTier[res.Kind.Tier], res)
		if !res.Own {
			rep.Codes[res.Kind.Name+" "+codeOf(res.Answer)]++
		}
	}
	for tier, tierResults := range byTier {
		rep.Tiers = append(rep.Tiers, summarizeTier(tier, tierResults, aud.WastedByTier[tier]))
	}
	slices.SortFunc(rep.Tiers, func(one, two TierReport) int { return cmp.Compare(one.Tier, two.Tier) })
	return rep
}

func codeOf(ans Answer) string {
	switch {
	case ans.Whole:
		return "NotOwn"
	case ans.Code != "":
		return ans.Code
	default:
		return "NoAnswer"
	}
}

func summarizeTier(tier string, results []Result, wasted int) TierReport {
	tir := TierReport{Tier: tier, Sent: len(results), WastedTokens: wasted}
	first := hdrhistogram.New(1, histogramMax, histogramDigits)
	for _, res := range results {
		ans := res.Answer
		tir.Repeats += ans.Repeats
		switch {
		case res.Own:
			tir.Whole++
			// RecordValue fails only above histogramMax, which is far beyond every deadline.
			_ = first.RecordValue(max(1, ans.FirstToken.Microseconds()))
			if ans.Total <= res.Kind.Deadline.Std() {
				tir.InTime++
			}
		case ans.Outcome != "" && ans.Err == nil:
			tir.GivenUp++
		default:
			tir.Lost++
		}
	}
	tir.FirstTokenP50 = time.Duration(first.ValueAtQuantile(50)) * time.Microsecond
	tir.FirstTokenP99 = time.Duration(first.ValueAtQuantile(99)) * time.Microsecond
	return tir
}

// Write prints the report as a table.
func (rep Report) Write(out io.Writer) error {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tab, "Tier\tSent\tWhole\tInTime\tGivenUp\tLost\tFirstP50\tFirstP99\tWastedPrefill\t")
	for _, tir := range rep.Tiers {
		fmt.Fprintf(tab, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%d\t\n", tir.Tier, tir.Sent, tir.Whole, tir.InTime,
			tir.GivenUp, tir.Lost, round(tir.FirstTokenP50), round(tir.FirstTokenP99), tir.WastedTokens)
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	aud := rep.Audit
	for _, code := range slices.Sorted(maps.Keys(rep.Codes)) {
		fmt.Fprintf(out, "without their own complete answer: %d %s\n", rep.Codes[code], code)
	}
	_, err := fmt.Fprintf(out, "dispatches: %d for %d requests, %d dispatched twice, %d mixed-up answers, %d falsely reported as NotRun\nprefill: %d tokens, %d wasted (%.2f%%)\n",
		aud.Dispatches, aud.Requests, len(aud.Doubled), aud.Mixed, len(aud.FalselyNotRun),
		aud.PrefillTokens, aud.WastedTokens, percentage(aud.WastedTokens, aud.PrefillTokens))
	return err
}

func percentage(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

func round(dur time.Duration) time.Duration {
	return dur.Round(100 * time.Microsecond)
}
