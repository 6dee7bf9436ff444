package main

import (
	"os"
	"sync"
	"time"
)

const (
	formerTenant = "hule930"
	newTenant    = "mavo112"
	movedAfter   = 1500 * time.Millisecond
	// crashAfter is how long after the change is acknowledged the engines crash: longer than config_apply_ms (2 s) and
	// revoke_ms (5 s).
	crashAfter    = 6 * time.Second
	tenantStreams = 36
)

// tenantCase gives a key to another tenant while streams run, and lets engines crash long after. The rule UNASKED: an
// engine runs a request only for the tenant that holds the client's key.
func tenantCase(rec *record, root string, trouble bool) (bool, error) {
	_ = os.Setenv(envEvents, "450")
	sys, err := startSystem(rec, root, 6)
	if sys != nil {
		defer sys.stop()
	}
	if err != nil {
		return false, err
	}
	if err := sys.put("op/config", configuration(1, account(formerTenant, apiKey, "n2ctnfzs989anu6wsjnb"), account(newTenant, "k3ctnfzs989anu6wsjnb")), false); err != nil {
		return false, err
	}
	var mutex sync.Mutex
	var runs []run
	sys.ran = func(rnn run) {
		mutex.Lock()
		defer mutex.Unlock()
		runs = append(runs, rnn)
	}
	start := time.Now().Add(time.Hour) // no answer without length or chunks
	engines := make([]*crashEngine, modelEngines)
	for place := range engines {
		if engines[place], err = startEngine(sys, place, start); err != nil {
			return false, err
		}
	}
	if err := sys.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	cli := newClient()
	addresses, err := sys.addresses(zones[0])
	if err != nil {
		return false, err
	}
	var wait sync.WaitGroup
	for num := range tenantStreams {
		id, adr := newID(), addresses[num%len(addresses)]
		wait.Add(1)
		go func() {
			defer wait.Done()
			rec.printf("client sends %s to %s", id, adr)
			header := map[string]string{"Authorization": "Bearer " + apiKey, "Model": "m", "Token-Counts": "600,2250", "Prompt-Prefix": "5c1e07a2:60," + id[:8] + ":540"}
			ans := cli.send(adr, "POST", streamPath+"2f", id, header, "plan "+id, 15*time.Second)
			rec.printf("client got for %s: status %d, whole %t, error %v", id, ans.status, ans.body == streamText(450), ans.err)
		}()
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(movedAfter)
	var movedAt time.Time
	if trouble {
		if err := sys.put("op/config", configuration(4, account(formerTenant, "n2ctnfzs989anu6wsjnb"), account(newTenant, "k3ctnfzs989anu6wsjnb", apiKey)), false); err != nil {
			return false, err
		}
		movedAt = time.Now()
		rec.printf("version 4 is acknowledged: the key belongs to %s", newTenant)
		time.Sleep(crashAfter)
		for _, eng := range engines[:crashCount] {
			rec.printf("engine %s is killed", eng.id)
			_ = eng.process.Process.Kill()
			close(eng.ended)
		}
	}
	wait.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	wrong := 0
	for _, rnn := range runs {
		if trouble && rnn.began.After(movedAt.Add(crashAfter)) && rnn.tenant != newTenant {
			wrong++
			rec.printf("UNASKED: %s ran at %s for %s, %s after the key belongs to %s", rnn.id, rnn.engine, rnn.tenant, rnn.began.Sub(movedAt).Round(time.Millisecond), newTenant)
		}
	}
	rec.printf("%d runs, %d of them for a tenant that doesn't hold the key", len(runs), wrong)
	return wrong > 0, nil
}
