package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/caller"
	"lynxwell.dev/lynxwell/engine"
)

// OverheadConfig holds what a measurement of the overhead is made from.
type OverheadConfig struct {
	// InFlight are the numbers of requests in flight to measure at.
	InFlight []int
	// For is how long each measurement lasts.
	For time.Duration
	Log zerolog.Logger
}

// OverheadRow is one measurement: the same request direct to the engine's
// stand-in and through lynxwell.
type OverheadRow struct {
	InFlight   int
	DirectRate float64
	Rate       float64
	DirectP50  time.Duration
	P50        time.Duration
	DirectP99  time.Duration
	P99        time.Duration
}

// The measured system: enough slots that nothing waits for one.
const (
	overheadHosts   = 4
	overheadEngines = 4
	overheadSlots   = 1024
)

// Overhead measures a request through lynxwell against the same one direct.
func Overhead(ctx context.Context, cfg OverheadConfig) ([]OverheadRow, error) {
	sys, err := start(ctx, systemConfig{hosts: overheadHosts, domains: overheadHosts, engines: overheadEngines, slots: overheadSlots, log: cfg.Log})
	if err != nil {
		return nil, err
	}
	defer sys.Stop()
	var engines []netip.AddrPort
	for _, eng := range sys.Engines {
		engines = append(engines, eng.Address)
	}
	var rows []OverheadRow
	for _, inFlight := range cfg.InFlight {
		direct, err := closedLoop(ctx, engines, inFlight, cfg.For)
		if err != nil {
			return nil, errors.Wrap(err, "direct")
		}
		through, err := closedLoop(ctx, sys.Entries(), inFlight, cfg.For)
		if err != nil {
			return nil, errors.Wrap(err, "through lynxwell")
		}
		rows = append(rows, OverheadRow{
			InFlight: inFlight, DirectRate: direct.rate(cfg.For), Rate: through.rate(cfg.For),
			DirectP50: direct.at(50), P50: through.at(50), DirectP99: direct.at(99), P99: through.at(99),
		})
	}
	return rows, nil
}

// timings are the times of the requests of one loop.
type timings struct {
	histogram *hdrhistogram.Histogram
}

func (tim timings) at(quantile float64) time.Duration {
	return time.Duration(tim.histogram.ValueAtQuantile(quantile)) * time.Microsecond
}

func (tim timings) rate(length time.Duration) float64 {
	return float64(tim.histogram.TotalCount()) / length.Seconds()
}

// maxMicros is the longest time that the histograms hold.
const maxMicros = 60_000_000

// closedLoop keeps so many requests in flight at the addresses for the time.
func closedLoop(ctx context.Context, addresses []netip.AddrPort, inFlight int, length time.Duration) (timings, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: inFlight, IdleConnTimeout: time.Minute, DisableCompression: true}
	cli := &http.Client{Transport: transport}
	defer cli.CloseIdleConnections()
	body, err := json.Marshal(engine.ChatRequest{Model: serviceName, Messages: []engine.Message{{Role: "user", Content: "is it safe?"}}, MaxTokens: 1, Stream: true})
	if err != nil {
		return timings{}, errors.Wrap(err, "encode request")
	}
	ends := make(chan loopEnd)
	until := time.Now().Add(length)
	for num := range inFlight {
		go func() { ends <- loop(ctx, cli, addresses[num%len(addresses)], body, until) }()
	}
	tim := timings{histogram: hdrhistogram.New(1, maxMicros, 3)}
	for range inFlight {
		end := <-ends
		if end.err != nil {
			err = end.err
			continue
		}
		tim.histogram.Merge(end.histogram)
	}
	return tim, err
}

type loopEnd struct {
	histogram *hdrhistogram.Histogram
	err       error
}

func loop(ctx context.Context, cli *http.Client, adr netip.AddrPort, body []byte, until time.Time) loopEnd {
	end := loopEnd{histogram: hdrhistogram.New(1, maxMicros, 3)}
	for time.Now().Before(until) {
		begun := time.Now()
		if end.err = once(ctx, cli, adr, body); end.err != nil {
			return end
		}
		// Times out of the range would be faults of the tool.
		_ = end.histogram.RecordValue(max(1, time.Since(begun).Microseconds()))
	}
	return end
}

func once(ctx context.Context, cli *http.Client, adr netip.AddrPort, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+adr.String()+engine.PathChat, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+accountKey)
	req.Header.Set(caller.HeaderTier, tierName)
	rep, err := cli.Do(req)
	if err != nil {
		return err
	}
	defer rep.Body.Close()
	data, err := io.ReadAll(rep.Body)
	if err != nil {
		return err
	}
	if rep.StatusCode != http.StatusOK {
		return errors.Newf("status %d: %s", rep.StatusCode, data)
	}
	return nil
}
