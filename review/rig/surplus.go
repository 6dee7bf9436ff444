package main

import (
	"math/rand"
	"sync"
	"time"
)

// The limits of the disruption, from the site file: garble, how = "extra late", share = 0.6, x = 0.03, for_s = 5.0.
const (
	surplusShare  = 0.6
	surplusOf     = 0.03
	surplusLength = 5 * time.Second
	surplusPause  = 3 * time.Second
	surplusRounds = 8
)

// surplusAnswer is the answer of an engine that sheds, as the bench's examples show it.
const surplusAnswer = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// surplusCase has faulty engines send a surplus answer behind a few of their whole answers, in the place where the
// next answer is due. The rules TWICE and REFUSED: a request that isn't idempotent runs once at most, and never if it
// was refused.
func surplusCase(rec *record, root string, trouble bool) (bool, error) {
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
	var mutex sync.Mutex
	runs := make(map[string][]run)
	sent := 0
	faulty := false
	started := time.Now()
	const engines = 4
	for num := range engines {
		eng, err := newEngine("i-0"+newID()[:8], plainService, zones[num], 6, "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		defer eng.listener.Close()
		defer eng.ended.Store(true)
		eng.work = 15 * time.Millisecond
		eng.ran = func(rnn run) {
			mutex.Lock()
			defer mutex.Unlock()
			runs[rnn.id] = append(runs[rnn.id], rnn)
			rec.printf("engine %s runs %s %s %s", rnn.engine, rnn.id, rnn.method, rnn.target)
		}
		answers, owed := 0, 0.0
		eng.surplus = func(answered string) string {
			mutex.Lock()
			defer mutex.Unlock()
			if !faulty || float64(num) >= surplusShare*engines-0.5 {
				return ""
			}
			answers++
			owed += surplusOf
			if owed < 1 {
				return ""
			}
			owed--
			sent++
			rec.printf("engine %s has a surplus answer behind its whole answer to %s", eng.id, answered)
			return surplusAnswer
		}
		go eng.serve()
		go eng.beat(sys)
	}
	if err := sys.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	done := make(chan struct{})
	go func() {
		defer close(done)
		for range surplusRounds {
			mutex.Lock()
			faulty = trouble
			mutex.Unlock()
			time.Sleep(surplusLength)
			mutex.Lock()
			faulty = false
			mutex.Unlock()
			time.Sleep(surplusPause)
		}
	}()

	// Requests as the sheet gives them: 28.4 recipe-card (unsafe) and 11.4 tray-label (safe) a second.
	cli := newClient()
	answers := make(map[string]answer)
	unsafe := make(map[string]bool)
	var wait sync.WaitGroup
	tick := time.NewTicker(25 * time.Millisecond)
	defer tick.Stop()
	rng := rand.New(rand.NewSource(started.UnixNano()))
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
		isUnsafe := rng.Float64() < 28.4/(28.4+11.4)
		id := newID()
		wait.Add(1)
		go func() {
			defer wait.Done()
			method, path, body := "GET", safePath+"2f", ""
			if isUnsafe {
				method, path, body = "POST", unsafePath+"2f", "card "+id
			}
			rec.printf("client sends %s %s %s to %s", id, method, path, adr)
			ans := cli.send(adr, method, path, id, map[string]string{"Authorization": "Bearer " + apiKey}, body, time.Second)
			rec.printf("client got for %s: status %d, signature %q, error %v", id, ans.status, ans.signature, ans.err)
			mutex.Lock()
			defer mutex.Unlock()
			answers[id] = ans
			unsafe[id] = isUnsafe
		}()
	}
	wait.Wait()
	time.Sleep(time.Second)

	mutex.Lock()
	defer mutex.Unlock()
	twice, refused, served := 0, 0, 0
	for id, ans := range answers {
		if ans.status == 200 {
			served++
		}
		if !unsafe[id] {
			continue
		}
		if len(runs[id]) > 1 {
			twice++
			rec.printf("TWICE: %s ran %d times: at %s and %s; the client got status %d", id, len(runs[id]), runs[id][0].engine, runs[id][1].engine, ans.status)
		}
		if len(runs[id]) > 0 && (ans.status == 429 || ans.status == 503 || ans.status == 408 || ans.status == 421) {
			refused++
			rec.printf("REFUSED: %s got %d and ran at %s", id, ans.status, runs[id][0].engine)
		}
	}
	rec.printf("%d requests, %d served, %d surplus answers, %d requests ran twice, %d refused ones ran", len(answers), served, sent, twice, refused)
	return twice+refused > 0, nil
}
