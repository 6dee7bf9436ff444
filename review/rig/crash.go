package main

import (
	"math/rand"
	"strings"
	"sync"
	"time"
)

// The limits of the disruptions, from the site file: srv_crash, service of the model engines, share = 0.25, for_s = 2.0;
// and garble, how = "unframed", x = 0.05, for_s = 5.0, at the largest share that the file gives for garble.
const (
	crashCount     = 4 // of 18 engines: a share of 0.22
	crashLength    = 2 * time.Second
	crashInterval  = 4 * time.Second
	crashRounds    = 14
	unframedOf     = 0.05
	unframedLength = 5 * time.Second
	unframedPause  = 1 * time.Second
)

// crashCase kills a quarter of the model engines now and then, while a few of the answers of some engines have neither a
// length nor chunks. The rule ORDER: no stream ends as complete before its last piece.
func crashCase(rec *record, root string, trouble bool) (bool, error) {
	sys, err := startSystem(rec, root, 6)
	if sys != nil {
		defer sys.stop()
	}
	if err != nil {
		return false, err
	}
	if err := sys.put("op/config", configuration(1, account(tenantName, apiKey)), false); err != nil {
		return false, err
	}
	// The time from which some answers have no length.
	start := time.Now()
	if !trouble {
		start = start.Add(time.Hour)
	}
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

	done := make(chan struct{})
	go func() {
		defer close(done)
		rng := rand.New(rand.NewSource(time.Now().UnixNano()))
		for range crashRounds {
			if !trouble {
				time.Sleep(crashInterval)
				continue
			}
			places := rng.Perm(modelEngines)[:crashCount]
			for _, place := range places {
				rec.printf("engine %s is killed", engines[place].id)
				_ = engines[place].process.Process.Kill()
				close(engines[place].ended)
			}
			time.Sleep(crashLength)
			for _, place := range places {
				eng, err := startEngine(sys, place, start)
				if err != nil {
					rec.printf("engine not started again: %v", err)
					continue
				}
				engines[place] = eng
			}
			time.Sleep(crashInterval - crashLength)
		}
	}()

	cli := newClient()
	var mutex sync.Mutex
	answers := make(map[string]answer)
	var wait sync.WaitGroup
	tick := time.NewTicker(18 * time.Millisecond)
	defer tick.Stop()
	rng := rand.New(rand.NewSource(start.UnixNano()))
	addresses, resolvedAt := []string(nil), time.Time{}
sending:
	for {
		select {
		case <-done:
			break sending
		case <-tick.C:
		}
		if time.Since(resolvedAt) > time.Second {
			found, err := sys.addresses(zones[rng.Intn(len(zones))])
			if err != nil {
				rec.printf("no addresses: %v", err)
				continue
			}
			addresses, resolvedAt = found, time.Now()
		}
		adr := addresses[rng.Intn(len(addresses))]
		id := newID()
		wait.Add(1)
		go func() {
			defer wait.Done()
			rec.printf("client sends %s to %s", id, adr)
			header := map[string]string{"Authorization": "Bearer " + apiKey, "Model": "m", "Token-Counts": "600,380", "Prompt-Prefix": "5c1e07a2:60," + id[:8] + ":540"}
			ans := cli.send(adr, "POST", streamPath+"2f", id, header, "plan "+id, 15*time.Second)
			rec.printf("client got for %s: status %d, %d events, error %v", id, ans.status, strings.Count(ans.body, "\n\n"), ans.err)
			mutex.Lock()
			defer mutex.Unlock()
			answers[id] = ans
		}()
	}
	wait.Wait()

	mutex.Lock()
	defer mutex.Unlock()
	whole, early, wrong, broken, refused := 0, 0, 0, 0, 0
	want := streamText(streamEvents)
	for id, ans := range answers {
		switch {
		case ans.err != nil:
			broken++
		case ans.status != 200:
			refused++
		case ans.body == want:
			whole++
		case strings.HasPrefix(want, ans.body):
			early++
			rec.printf("ORDER: %s ended as complete after %d of %d events", id, strings.Count(ans.body, "\n\n"), streamEvents)
		default:
			wrong++
			rec.printf("ORDER: %s has other events than its run made", id)
		}
	}
	rec.printf("%d streams: %d whole, %d broken off, %d refused or failed, %d ended as complete too early, %d with other events", len(answers), whole, broken, refused, early, wrong)
	return early+wrong > 0, nil
}
