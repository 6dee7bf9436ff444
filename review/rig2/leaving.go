package main

import (
	"fmt"
	"os"
	"time"
)

const (
	// drain is the rule's drain_ms.
	drain = 2 * time.Second
	// servesOn is how long an engine serves on whose entry has gone: drain and a little longer, at times many seconds.
	servesOn = 8 * time.Second
	// The store cuts the waiting watches each cutEvery, for cutDuring. cutAfter is how long those have waited that begin meanwhile.
	cutEvery  = 2 * time.Second
	cutDuring = 100 * time.Millisecond
	cutAfter  = 10 * time.Millisecond
)

// leaving: engines leave whose entries go, while the store cuts waiting watches.
func leaving() (bool, string) {
	every, during := cutEvery, cutDuring
	if text := os.Getenv("CUT_EVERY"); text != "" {
		every, _ = time.ParseDuration(text)
	}
	sto := mustStore()
	configure(sto, 1, []route{{name: "r-1", prefix: "/cufi504/", kind: "safe", service: service, timeout: 1000, maxAttempts: 2}})
	engines := startEngines(sto, 4, nil)
	hosts := startHosts(sto)
	awaitReady(hosts, 10*time.Second)
	time.Sleep(lead)
	dir := &directory{}
	dir.set(hosts)
	tra := startTraffic(dir, "/cufi504/fi50/2f", 20*time.Millisecond)
	time.Sleep(3 * time.Second)
	if hasTrouble() {
		sto.mutex.Lock()
		began := time.Now()
		sto.cutWatch = func() time.Duration {
			// A watch that waits when the next time has come, or comes in it, is cut.
			passed := time.Since(began) % every
			if passed < during {
				return cutAfter
			}
			return every - passed
		}
		sto.mutex.Unlock()
	}
	time.Sleep(5 * time.Second)
	// No host is disturbed, and the store answers all calls but the waiting watches that it cuts.
	acknowledged := engines[1].leave(servesOn)
	time.Sleep(servesOn + time.Second)
	requests := tra.end()
	served(requests, acknowledged, acknowledged.Add(servesOn))
	late := 0
	var last time.Duration
	for _, run := range allRuns(engines[1:2]) {
		if after := run.at.Sub(acknowledged); after > drain {
			late++
			last = max(last, after)
			record("engine %s runs %s %.3f s after its entry has gone", run.engine, run.id, after.Seconds())
		}
	}
	record("the store has cut %d waiting watches", sto.cuts)
	return late > 0, fmt.Sprintf("%d requests reached the engine later than %v after its entry had gone, the last %.1f s after", late, drain, last.Seconds())
}
