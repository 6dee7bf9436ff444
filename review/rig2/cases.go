package main

import (
	"fmt"
	"time"
)

// lead is how long after the machines the traffic starts, recovery is the rule's recovery_s.
const (
	lead     = 10 * time.Second
	recovery = 12 * time.Second
)

// service is the plain service of the cases.
const service = "cocina-app"

func startEngines(sto *platformStore, count int, set func(*engine)) []*engine {
	var engines []*engine
	zoneNames := []string{"leon-a", "leon-b", "qro-a", "qro-b"}
	for idx := range count {
		eng := &engine{id: fmt.Sprintf("i-%08x", 0x7f3a9100+idx), service: service, zone: zoneNames[idx%4], store: sto, eventText: shortEvent}
		if set != nil {
			set(eng)
		}
		eng.start()
		engines = append(engines, eng)
	}
	return engines
}

// newHosts returns the six machines of the small deployment.
func newHosts(sto *platformStore) []*host {
	var hosts []*host
	for idx, name := range []string{"front-leon-a-1", "front-leon-a-2", "front-leon-b-1", "front-leon-b-2", "front-qro-a-1", "front-qro-b-1"} {
		hosts = append(hosts, newHost(name, name[len("front-"):len(name)-2], fmt.Sprintf("127.0.1.%d", idx+1), sto.address))
	}
	return hosts
}

// startHosts starts the six machines.
func startHosts(sto *platformStore) []*host {
	hosts := newHosts(sto)
	for _, hst := range hosts {
		hst.start()
	}
	return hosts
}

func mustStore() *platformStore {
	sto, err := newStore()
	if err != nil {
		cannotRun("%v", err)
	}
	return sto
}

// replaced: all machines go away for good, and others join in their places.
func replaced() (bool, string) {
	sto := mustStore()
	configure(sto, 1, []route{{name: "r-1", prefix: "/cufi504/", kind: "safe", service: service, timeout: 1000, maxAttempts: 2}})
	startEngines(sto, 4, nil)
	hosts := startHosts(sto)
	awaitReady(hosts, 10*time.Second)
	time.Sleep(lead)
	dir := &directory{}
	dir.set(hosts)
	tra := startTraffic(dir, "/cufi504/fi50/2f", 40*time.Millisecond)
	first := time.Now()
	time.Sleep(10 * time.Second)
	fault := time.Now()
	if hasTrouble() {
		for _, hst := range hosts {
			hst.kill()
		}
		time.Sleep(1300 * time.Millisecond)
		hosts = nil
		for idx, name := range []string{"front-leon-a-3", "front-leon-b-3", "front-qro-a-2", "front-qro-b-2"} {
			hosts = append(hosts, newHost(name, name[len("front-"):len(name)-2], fmt.Sprintf("127.0.2.%d", idx+1), sto.address))
		}
		for _, hst := range hosts {
			hst.start()
		}
		dir.set(hosts)
		awaitReady(hosts, 10*time.Second)
	}
	back := time.Now()
	time.Sleep(recovery + 8*time.Second)
	requests := tra.end()
	before, beforeServed := served(requests, first, fault)
	after, afterServed := served(requests, back.Add(recovery), back.Add(recovery+8*time.Second))
	if 4*beforeServed < before || after == 0 {
		cannotRun("less than a quarter was served before")
	}
	return 4*afterServed < after, fmt.Sprintf("before the fault %d of %d requests were served, from %v after the machines were back %d of %d", beforeServed, before, recovery, afterServed, after)
}
