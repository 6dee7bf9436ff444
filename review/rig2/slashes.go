package main

import (
	"fmt"
	"net/http"
	"time"
)

// slashes: a configuration adds a route for all paths of the host, and clients ask for paths that begin with two slashes.
func slashes() (bool, string) {
	const count = 40
	sto := mustStore()
	routes := []route{{name: "r-1", prefix: "/cufi504/", kind: "safe", service: service, timeout: 1000, maxAttempts: 2}}
	configure(sto, 1, routes, service)
	engines := startEngines(sto, 4, nil)
	hosts := startHosts(sto)
	awaitReady(hosts, 10*time.Second)
	time.Sleep(lead)
	dir := &directory{}
	dir.set(hosts)
	if hasTrouble() {
		configure(sto, 2, append(routes, route{name: "r-2", prefix: "/", kind: "safe", service: service, timeout: 1000, maxAttempts: 2}), service)
	}
	// Well behind config_apply_ms.
	time.Sleep(5 * time.Second)
	asked, denied, ends := 0, 0, map[string]int{}
	for idx := range count {
		for _, target := range []string{"/cufi504/fi50/2f", fmt.Sprintf("/menu/%d?day=1", idx), fmt.Sprintf("//menu/%d?day=1", idx)} {
			address, found := dir.address()
			if !found {
				cannotRun("no address")
			}
			res := attempt(address, http.MethodGet, target, time.Second)
			record("client: GET %s: status %d, signed %v, whole %v, error %v", target, res.status, res.signed, res.served(), res.err)
			asked++
			if hasTrouble() && res.status >= 300 && res.status < 500 && !res.signed {
				denied++
			}
			ends[fmt.Sprintf("%s.. %d", target[:2], res.status)]++
		}
	}
	for _, run := range allRuns(engines) {
		record("engine %s ran %s %s %s", run.engine, run.id, run.method, run.target)
	}
	limit := 5 + asked/500
	return denied > limit, fmt.Sprintf("%d of %d proper requests ended with a 3xx or 4xx without an engine's signature, %d are allowed; ends: %v", denied, asked, limit, ends)
}
