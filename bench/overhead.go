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

// OverheadConfig is the configuration of Overhead.
type OverheadConfig struct {
	// InFlight are the numbers of concurrent requests to measure.
	InFlight []int
	// For is the length of each measurement.
	For time.Duration
	Log zerolog.Logger
}

// OverheadRow is one measurement: the same request sent directly to fake engines and
// through lynxwell. Rates are in requests per second; P50 and P99 are percentiles of the time
// to the complete answer.
type OverheadRow struct {
	InFlight   int
	DirectRate float64
	Rate       float64
	DirectP50  time.Duration
	P50        time.Duration
	DirectP99  time.Duration
	P99        time.Duration
}

// The measured system: it has enough slots that no request is queued.
const (
	overheadHosts   = 4
	overheadEngines = 4
	overheadSlots   = 1024
)

// Overhead compares requests through lynxwell with the same requests sent directly to
// engines.
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
			return nil, errors.Wrap(err, "send requests directly to engines")
		}
		through, err := closedLoop(ctx, sys.ClientAddresses(), inFlight, cfg.For)
		if err != nil {
			return nil, errors.Wrap(err, "send requests through lynxwell")
		}
		rows = append(rows, OverheadRow{
			InFlight: inFlight, DirectRate: direct.rate(cfg.For), Rate: through.rate(cfg.For),
			DirectP50: direct.percentile(50), P50: through.percentile(50), DirectP99: direct.percentile(99), P99: through.percentile(99),
		})
	}
	return rows, nil
}

// latencies are the latencies of the requests of one loop.
type latencies struct {
	histogram *hdrhistogram.Histogram
}

func (lat latencies) percentile(percent float64) time.Duration {
	return time.Duration(lat.histogram.ValueAtQuantile(percent)) * time.Microsecond
}

func (lat latencies) rate(length time.Duration) float64 {
	return float64(lat.histogram.TotalCount()) / length.Seconds()
}

// maxMicros is the maximum value of the histograms, in microseconds.
const maxMicros = 60_000_000

// closedLoop keeps inFlight requests in flight to the addresses for the given time, and
// returns an error if any of them failed.
func closedLoop(ctx context.Context, addresses []netip.AddrPort, inFlight int, length time.Duration) (latencies, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: inFlight, IdleConnTimeout: time.Minute, DisableCompression: true}
	cli := &http.Client{Transport: transport}
	defer cli.CloseIdleConnections()
	body, err := json.Marshal(engine.ChatRequest{Model: serviceName, Messages: []engine.Message{{Role: "user", Content: "is it safe?"}}, MaxTokens: 1, Stream: true})
	if err != nil {
		return latencies{}, errors.Wrap(err, "encode request")
	}
	results := make(chan loopResult)
	until := time.Now().Add(length)
	for num := range inFlight {
		go func() { results <- sendUntil(ctx, cli, addresses[num%len(addresses)], body, until) }()
	}
	lat := latencies{histogram: hdrhistogram.New(1, maxMicros, 3)}
	for range inFlight {
		res := <-results
		if res.err != nil {
			err = res.err
			continue
		}
		lat.histogram.Merge(res.histogram)
	}
	return lat, err
}

type loopResult struct {
	histogram *hdrhistogram.Histogram
	err       error
}

func sendUntil(ctx context.Context, cli *http.Client, adr netip.AddrPort, body []byte, until time.Time) loopResult {
	res := loopResult{histogram: hdrhistogram.New(1, maxMicros, 3)}
	for time.Now().Before(until) {
		begun := time.Now()
		if res.err = sendOnce(ctx, cli, adr, body); res.err != nil {
			return res
		}
		// RecordValue fails only above maxMicros, 60 s; fake engines answer far sooner.
		_ = res.histogram.RecordValue(max(1, time.Since(begun).Microseconds()))
	}
	return res
}

func sendOnce(ctx context.Context, cli *http.Client, adr netip.AddrPort, body []byte) error {
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
		return errors.Newf("got status %d, want 200: %s", rep.StatusCode, data)
	}
	return nil
}
