package entry

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"lynxwell.dev/lynxwell/peer"
)

// hostMetrics holds the host's counters, gauges and histograms.
type hostMetrics struct {
	registry      metrics.Registry
	dialed        metrics.Counter
	storeFailures metrics.Counter
	// invalidValues counts invalid values in the store.
	invalidValues metrics.Counter
	// refusedPeers counts peers that failed to authenticate as hosts of this deployment.
	refusedPeers metrics.Counter
	// version, engines and members describe the host's snapshot.
	version metrics.Gauge
	engines metrics.Gauge
	members metrics.Gauge
	// answerBytes is what the calls to engines hold of their answers beyond what each may hold by itself.
	answerBytes metrics.Gauge
	// share is the share of the limits that the host's own scheduler enforces, from 0 to 1.
	share metrics.GaugeFloat64
}

// The reservoir of a histogram: its size, and the weight of recent values.
const (
	sampleSize  = 512
	sampleAlpha = 0.015
)

func newHostMetrics(linesDropped func() int64) *hostMetrics {
	reg := metrics.NewRegistry()
	hme := &hostMetrics{
		registry: reg, dialed: metrics.NewCounter(), storeFailures: metrics.NewCounter(), invalidValues: metrics.NewCounter(), refusedPeers: metrics.NewCounter(),
		version: metrics.NewGauge(), engines: metrics.NewGauge(), members: metrics.NewGauge(), answerBytes: metrics.NewGauge(), share: metrics.NewGaugeFloat64(),
	}
	for name, metric := range map[string]any{
		"EngineConnections": hme.dialed, "StoreFailures": hme.storeFailures, "StoreValuesRefused": hme.invalidValues, "PeersRefused": hme.refusedPeers, "LogLinesDropped": metrics.NewFunctionalGauge(linesDropped),
		"ConfigurationVersion": hme.version, "EnginesReady": hme.engines, "Members": hme.members, "LimitShare": hme.share, "AnswerBytesHeld": hme.answerBytes,
	} {
		// A new registry holds no such name yet.
		_ = reg.Register(name, metric)
	}
	return hme
}

// count increments a counter, which is created on first use.
func (hme *hostMetrics) count(name string) {
	hme.add(name, 1)
}

// add increments a counter, which is created on first use, by a number.
func (hme *hostMetrics) add(name string, number int) {
	metrics.GetOrRegisterCounter(name, hme.registry).Inc(int64(number))
}

// observe adds a duration to a histogram of microseconds, which is created on first use.
func (hme *hostMetrics) observe(name string, took time.Duration) {
	his, known := hme.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
	if known {
		his.Update(took.Microseconds())
	}
}

// recordFollowed counts an answer by which another host read this host's copy of the store.
func (hme *hostMetrics) recordFollowed(fol peer.Followed) {
	hme.count("Mirror.Answers")
	metrics.GetOrRegisterCounter("Mirror.Bytes", hme.registry).Inc(int64(fol.Bytes))
	if fol.Whole {
		hme.count("Mirror.WholeCopies")
		metrics.GetOrRegisterCounter("Mirror.WholeBytes", hme.registry).Inc(int64(fol.Bytes))
	}
}

// quantiles are those that text returns for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// text returns all metrics and the calls to the store by kind, one per line, sorted.
func (hme *hostMetrics) text(calls map[string]uint64) []byte {
	var lines []string
	for kind, count := range calls {
		lines = append(lines, fmt.Sprintf("StoreCalls.%s %d", kind, count))
	}
	hme.registry.Each(func(name string, value any) {
		switch val := value.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, val.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, val.Value()))
		case metrics.GaugeFloat64:
			lines = append(lines, fmt.Sprintf("%s %g", name, val.Value()))
		case metrics.Histogram:
			snap := val.Snapshot()
			lines = append(lines, fmt.Sprintf("%s.Count %d", name, snap.Count()))
			for idx, micros := range snap.Percentiles(quantiles) {
				lines = append(lines, fmt.Sprintf("%s.P%g %.3f", name, 100*quantiles[idx], micros/1000))
			}
		}
	})
	slices.Sort(lines)
	var buf bytes.Buffer
	for _, line := range lines {
		buf.WriteString(line)
		buf.WriteByte('\n')
	}
	return buf.Bytes()
}

func (hos *Host) metricsHandler() http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		switch req.URL.Path {
		case PathDump:
			hos.serveDump(wri, req)
			return
		case PathRelease:
			hos.serveRelease(wri, req)
			return
		}
		wri.Header().Set("Content-Type", "text/plain; charset=utf-8")
		// The write fails only if the client has disconnected; nothing more can be sent to it.
		_, _ = wri.Write(hos.metrics.text(hos.store.Counts()))
	})
}
