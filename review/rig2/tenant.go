package main

import (
	"fmt"
	"net/http"
	"time"
)

// newTenant: a configuration adds a tenant while the store is silent to one machine, that which last wrote under a condition.
func newTenant() (bool, string) {
	const (
		silence = 9 * time.Second
		clients = 10
		size    = 2000
	)
	added := tenant{name: "nuevo930", key: "q7w2hh4b9wu3fexd9dn5", rate: 10000, burst: 10000}
	routes := []route{{name: "r-1", prefix: "/cufi504/", kind: "safe", service: service, timeout: 1000, maxAttempts: 2}}
	sto := mustStore()
	configure(sto, 1, routes)
	engines := startEngines(sto, 4, nil)
	hosts := newHosts(sto)
	doors := map[*door]*host{}
	for _, hst := range hosts {
		dor := sto.openDoor()
		hst.storeAt, doors[dor] = dor.address, hst
		hst.start()
	}
	awaitReady(hosts, 10*time.Second)
	time.Sleep(lead)
	dir := &directory{}
	dir.set(hosts)
	sto.mutex.Lock()
	leader := sto.lastConditional
	sto.mutex.Unlock()
	if leader == nil {
		cannotRun("no host has written under a condition")
	}
	record("host %s last wrote under a condition", doors[leader].name)
	if hasTrouble() {
		leader.silence(silence)
		record("the store is silent to host %s for %v", doors[leader].name, silence)
	}
	configure(sto, 2, routes, added)
	// The other hosts know the configuration after some tenths of a second.
	time.Sleep(200 * time.Millisecond)
	spend(dir, clients, quotaWindow-time.Second, func(address string) result {
		return attemptWithKey(address, http.MethodGet, "/cufi504/fi50/2f", added.key, time.Second, fmt.Sprintf("Token-Counts: %d,0", size))
	})
	return checkQuota(allRuns(engines), added.rate, added.burst)
}
