package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entry"
)

const (
	// A slow host runs for slowRun and stands still for slowStop, again and again. Each stop is shorter
	// than the timeout of its sessions.
	slowRun  = 60 * time.Millisecond
	slowStop = 340 * time.Millisecond
	// maxSlow is the longest time for which a fault slows a host.
	maxSlow = 1500 * time.Millisecond
	// slowLoad is the number of groups of visitors that RunSlowCoordinator starts: each host has to see
	// several decisions in a second to judge them.
	slowLoad = 5
)

// slowDown lets a host run at a fraction of its speed until the context ends.
func (sys *system) slowDown(ctx context.Context, hos *host) {
	hos.recordDisturbance()
	for ctx.Err() == nil {
		hos.Freeze()
		sleep(ctx, slowStop)
		hos.Resume()
		sleep(ctx, slowRun)
	}
	hos.recordDisturbance()
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// changeSpeed slows a random host for a while, in one of four calls.
func (sys *system) changeSpeed() {
	if sys.speedRandom.IntN(4) != 0 {
		return
	}
	hos := sys.hosts[sys.speedRandom.IntN(len(sys.hosts))]
	if hos.down {
		return
	}
	sys.t.Log(time.Now().Format("05.000"), "slow down", hos.set.Name)
	ctx, cancel := context.WithTimeout(sys.t.Context(), time.Duration(sys.speedRandom.Int64N(int64(maxSlow))))
	defer cancel()
	sys.slowDown(ctx, hos)
}

// RunSlowCoordinator slows the coordinator of four hosts under load, and checks that another host replaces
// it, and that requests are served meanwhile and afterwards.
func RunSlowCoordinator(t *testing.T) {
	t.Helper()
	sys := start(t, Config{Seed: 1, Hosts: 4})
	ctx, cancel := context.WithCancel(t.Context())
	var sent []<-chan []sentRequest
	for seed := range uint64(slowLoad) {
		sent = append(sent, sys.startVisitors(ctx, seed))
	}
	var coordinator *host
	sys.waitUntil("one host coordinates", func() bool {
		coordinator = sys.coordinator()
		return coordinator != nil
	})
	slowCtx, endSlow := context.WithCancel(t.Context())
	slowed := make(chan struct{})
	go func() {
		defer close(slowed)
		sys.slowDown(slowCtx, coordinator)
	}()
	sys.waitUntil("the coordinator is replaced", func() bool { return sys.sumOfMetric(coordinator, "Coordinator.Replaced") > 0 })
	sys.waitUntil("another host coordinates", func() bool {
		successor := sys.coordinatorOf(coordinator)
		return successor != nil && successor != coordinator
	})
	endSlow()
	<-slowed
	sys.wait(settleTime)
	cancel()
	var all []sentRequest
	for _, results := range sent {
		all = append(all, <-results...)
	}
	sys.checkResults(all)
	sys.checkServing(1)
}

// coordinator returns the host that all hosts have as their coordinator, nil while they differ.
func (sys *system) coordinator() *host { return sys.coordinatorOf(nil) }

// coordinatorOf is like coordinator, but leaves one host out of account.
func (sys *system) coordinatorOf(without *host) *host {
	var chosen string
	byEpoch := make(map[string]*host)
	for _, hos := range sys.hosts {
		dum, answered := sys.dump(hos)
		if hos == without {
			continue
		}
		if !answered || chosen != "" && chosen != dum.Coordinator {
			return nil
		}
		chosen = dum.Coordinator
		byEpoch[dum.Epoch] = hos
	}
	return byEpoch[chosen]
}

// hostDump is the part of a host's dump that is read here.
type hostDump struct {
	Epoch       string
	Coordinator string
}

// dump reads a host's dump; a host that is down or slow gives none.
func (sys *system) dump(hos *host) (hostDump, bool) {
	var dum hostDump
	body, answered := sys.metricsPage(hos, entry.PathDump)
	if !answered || json.Unmarshal([]byte(body), &dum) != nil {
		return hostDump{}, false
	}
	return dum, true
}

// sumOfMetric returns the sum of a counter over all hosts but one.
func (sys *system) sumOfMetric(without *host, name string) int {
	sum := 0
	for _, hos := range sys.hosts {
		if hos == without {
			continue
		}
		page, _ := sys.metricsPage(hos, "/metrics")
		for line := range strings.Lines(page) {
			var count int
			if _, err := fmt.Sscanf(line, name+" %d", &count); err == nil {
				sum += count
			}
		}
	}
	return sum
}

// metricsPage reads a page at a host's metrics address; false if the host doesn't answer at once.
func (sys *system) metricsPage(hos *host, path string) (string, bool) {
	ctx, cancel := context.WithTimeout(sys.t.Context(), slowStop)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hos.set.MetricsAddress.String()+path, http.NoBody)
	assert.NilError(sys.t, err)
	rep, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", false
	}
	defer rep.Body.Close()
	text, err := io.ReadAll(rep.Body)
	return string(text), err == nil
}
