package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	// The rule's bounds.
	quotaWindow = 8 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 140000
	// requestTokens is the size of each request.
	requestTokens = 5000
)

// quota: the store is down while the machines start for the first time, and all processes are killed soon after. The store's
// stale answers are as old as on the site's days. DOWN and STALE change both times.
func quota() (bool, string) {
	tenantRate, tenantBurst = 50000, 400000
	down, staleBy := 7*time.Second, 5500*time.Millisecond
	if text := os.Getenv("DOWN"); text != "" {
		down, _ = time.ParseDuration(text)
	}
	if text := os.Getenv("STALE"); text != "" {
		staleBy, _ = time.ParseDuration(text)
	}
	sto := mustStore()
	configure(sto, 1, []route{{name: "r-1", prefix: "/cufi504/", kind: "safe", service: service, timeout: 1000, maxAttempts: 2}})
	engines := startEngines(sto, 4, nil)
	time.Sleep(staleBy + 500*time.Millisecond)
	started := time.Now()
	sto.mutex.Lock()
	sto.staleBy = staleBy
	if hasTrouble() {
		sto.downUntil = started.Add(down)
	}
	sto.mutex.Unlock()
	hosts := startHosts(sto)
	awaitReady(hosts, down+6*time.Second)
	time.Sleep(time.Until(started.Add(lead)))
	record("keys: %v", sto.keys("lynxwell"))
	dir := &directory{}
	dir.set(hosts)
	done := make(chan struct{})
	go func() {
		defer close(done)
		spend(dir, 30, quotaWindow+time.Second, func(address string) result {
			return attempt(address, http.MethodGet, "/cufi504/fi50/2f", time.Second, fmt.Sprintf("Token-Counts: %d,0", requestTokens))
		})
	}()
	time.Sleep(600 * time.Millisecond)
	if hasTrouble() {
		for _, hst := range hosts {
			hst.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, hst := range hosts {
			hst.start()
		}
	}
	<-done
	return checkQuota(allRuns(engines), tenantRate, tenantBurst)
}

// spend sends requests from a number of clients, each as soon as its last one is answered, for a time.
func spend(dir *directory, clients int, duration time.Duration, send func(address string) result) {
	var pending sync.WaitGroup
	var mutex sync.Mutex
	ends := map[string]int{}
	until := time.Now().Add(duration)
	for range clients {
		pending.Add(1)
		go func() {
			defer pending.Done()
			for time.Now().Before(until) {
				address, found := dir.address()
				if !found {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				res := send(address)
				mutex.Lock()
				ends[fmt.Sprint(res.status)]++
				mutex.Unlock()
				if !res.served() {
					time.Sleep(30 * time.Millisecond)
				}
			}
		}()
	}
	pending.Wait()
	record("answers by status: %v", ends)
}

// checkQuota checks the rule for a tenant that alone has sent requests.
func checkQuota(runs []run, rate, burst int) (bool, string) {
	if len(runs) == 0 {
		cannotRun("nothing ran")
	}
	slices.SortFunc(runs, func(one, two run) int { return one.at.Compare(two.at) })
	most, first := 0, time.Time{}
	perHalf := map[int]int{}
	for idx, sum, begin := 0, 0, 0; idx < len(runs); idx++ {
		perHalf[int(runs[idx].at.Sub(runs[0].at)/(500*time.Millisecond))] += runs[idx].tokens
		sum += runs[idx].tokens
		for runs[idx].at.Sub(runs[begin].at) >= quotaWindow {
			sum -= runs[begin].tokens
			begin++
		}
		if sum > most {
			most, first = sum, runs[begin].at
		}
	}
	for half := range 20 {
		record("%.1f s after the first request: %d tokens in half a second", float64(half)/2, perHalf[half])
	}
	allowed := (float64(rate)*quotaWindow.Seconds()+float64(burst))*(1+quotaOver) + quotaSlack
	return float64(most) > allowed, fmt.Sprintf("%d tokens ran in the %v from %.1f s on, %.0f are allowed", most, quotaWindow, first.Sub(began).Seconds(), allowed)
}
