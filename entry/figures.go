package entry

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
)

// figures are the host's counters and histograms.
type figures struct {
	registry      metrics.Registry
	dialed        metrics.Counter
	storeFailures metrics.Counter
	// refused counts values of the store that can't be used.
	refused metrics.Counter
	// peersRefused counts hosts that didn't prove to be of this deployment.
	peersRefused metrics.Counter
	// version, engines and members tell what the host believes.
	version metrics.Gauge
	engines metrics.Gauge
	members metrics.Gauge
}

// The reservoir of a histogram: its size, and how much it prefers what is new.
const (
	sampleSize  = 512
	sampleAlpha = 0.015
)

func newFigures(linesDropped func() int64) *figures {
	reg := metrics.NewRegistry()
	fig := &figures{
		registry: reg, dialed: metrics.NewCounter(), storeFailures: metrics.NewCounter(), refused: metrics.NewCounter(), peersRefused: metrics.NewCounter(),
		version: metrics.NewGauge(), engines: metrics.NewGauge(), members: metrics.NewGauge(),
	}
	for name, figure := range map[string]any{
		"EngineConnections": fig.dialed, "StoreFailures": fig.storeFailures, "StoreValuesRefused": fig.refused, "PeersRefused": fig.peersRefused, "LogLinesDropped": metrics.NewFunctionalGauge(linesDropped),
		"ConfigurationVersion": fig.version, "EnginesReady": fig.engines, "Members": fig.members,
	} {
		// A fresh registry holds no such name yet.
		_ = reg.Register(name, figure)
	}
	return fig
}

// count adds one to a counter, which is made at its first use.
func (fig *figures) count(name string) {
	metrics.GetOrRegisterCounter(name, fig.registry).Inc(1)
}

// observe adds a time to a histogram of microseconds.
func (fig *figures) observe(name string, took time.Duration) {
	his, known := fig.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
	if known {
		his.Update(took.Microseconds())
	}
}

// quantiles are those shown of a histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// text returns all figures and the calls to the store by kind, one a line, sorted.
func (fig *figures) text(calls map[string]uint64) []byte {
	var lines []string
	for kind, count := range calls {
		lines = append(lines, fmt.Sprintf("StoreCalls.%s %d", kind, count))
	}
	fig.registry.Each(func(name string, value any) {
		switch val := value.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, val.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, val.Value()))
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
		case PathFree:
			hos.serveFree(wri, req)
			return
		}
		wri.Header().Set("Content-Type", "text/plain; charset=utf-8")
		// A reader that has left can't be told anything more.
		_, _ = wri.Write(hos.figures.text(hos.store.Counts()))
	})
}
