package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The limits of the disruption, from the site file: garble, share = 0.6, x = 0.03, for_s = 5.0.
const (
	junkOf     = 0.03
	junkWindow = 5 * time.Second
	junkPause  = 9 * time.Second
	floodTime  = 80 * time.Second
	// junkPrefill is the time that an engine takes to read a prompt of 6,670 tokens, 56.6 in a ms.
	junkPrefill = 118 * time.Millisecond
	// memoryLimit is memory_mb of a front machine.
	memoryLimit = 284
	restartTime = time.Second
	// lostBound is from the rule LOST, "more than three times". faultHosts and faultEnds are from the rule Fault: on a
	// tenth of the machines, two at least, processes end by themselves three times.
	lostBound  = 3
	faultHosts = 2
	faultEnds  = 3
)

// memoryOf returns how much memory a process has resident, in MB.
func memoryOf(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes / 1024
		}
	}
	return 0
}

// floodCase has some engines answer a few requests with bytes that form no answer, for as long as they are read. As the
// platform does, it kills a host that has more than its memory, and starts it again. The rule LOST: a host in touch answers
// what it has passed on to a sound engine.
func floodCase(rec *record, root string, trouble bool) (bool, error) {
	_ = os.Setenv(envJunk, "1")
	sys, err := startSystem(rec, root, 6)
	if sys != nil {
		defer sys.stop()
	}
	if err != nil {
		return false, err
	}
	keys := []string{apiKey, "n2ctnfzs989anu6wsjnb", "k3ctnfzs989anu6wsjnb"}
	if err := sys.put("op/config", configuration(1, account(tenantName, keys[0]), account("mavo112", keys[1]), account("sibo407", keys[2])), false); err != nil {
		return false, err
	}
	var mutex sync.Mutex
	ranAt := make(map[string]string)
	sys.ran = func(rnn run) {
		mutex.Lock()
		defer mutex.Unlock()
		ranAt[rnn.id] = rnn.engine
	}
	start := time.Now().Add(8 * time.Second)
	if !trouble {
		start = start.Add(time.Hour)
	}
	sound := make(map[string]bool)
	for place := range modelEngines {
		eng, err := startEngine(sys, place, start)
		if err != nil {
			return false, err
		}
		sound[eng.id] = !eng.faulty
	}
	if err := sys.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	done := make(chan struct{})
	ends, peaks := make([]int, len(sys.hosts)), make([]int, len(sys.hosts))
	var watchers sync.WaitGroup
	for num, hos := range sys.hosts {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			for {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				used := memoryOf(hos.process.Process.Pid)
				peaks[num] = max(peaks[num], used)
				if used <= memoryLimit {
					continue
				}
				ends[num]++
				rec.printf("host %s has %d MB, more than %d: the platform kills it", hos.name, used, memoryLimit)
				_ = hos.process.Process.Kill()
				_ = hos.process.Wait()
				time.Sleep(restartTime)
				if err := sys.runHost(hos); err != nil {
					rec.printf("host %s not started again: %v", hos.name, err)
					return
				}
			}
		}()
	}

	cli := newClient()
	answers := make(map[string]answer)
	var wait sync.WaitGroup
	tick := time.NewTicker(16 * time.Millisecond)
	defer tick.Stop()
	rng := rand.New(rand.NewSource(time.Now().UnixNano()))
	addresses, resolvedAt := []string(nil), time.Time{}
	for end := time.Now().Add(floodTime); time.Now().Before(end); {
		<-tick.C
		if time.Since(resolvedAt) > time.Second {
			found, err := sys.addresses(zones[rng.Intn(len(zones))])
			if err != nil {
				rec.printf("no addresses: %v", err)
				continue
			}
			addresses, resolvedAt = found, time.Now()
		}
		adr, id, key := addresses[rng.Intn(len(addresses))], newID(), keys[rng.Intn(len(keys))]
		wait.Add(1)
		go func() {
			defer wait.Done()
			rec.printf("client sends %s to %s", id, adr)
			header := map[string]string{"Authorization": "Bearer " + key, "Model": "m", "Token-Counts": "6670,380", "Prompt-Prefix": "5c1e07a2:60," + id[:8] + ":6610"}
			ans := cli.send(adr, "POST", streamPath+"2f", id, header, "plan "+id, 15*time.Second)
			rec.printf("client got for %s: status %d, %d events, kept connection %t, error %v", id, ans.status, strings.Count(ans.body, "\n\n"), ans.kept, ans.err)
			mutex.Lock()
			defer mutex.Unlock()
			answers[id] = ans
		}()
	}
	wait.Wait()
	close(done)
	watchers.Wait()

	mutex.Lock()
	defer mutex.Unlock()
	whole, lost, cut := 0, 0, 0
	for id, ans := range answers {
		switch {
		case ans.err == nil && ans.status == 200:
			whole++
		case ans.err != nil && ans.kept && sound[ranAt[id]] && ans.headless:
			lost++
			rec.printf("LOST: %s ran at %s, a sound engine, and its kept connection was closed without an answer", id, ranAt[id])
		case ans.err != nil && sound[ranAt[id]]:
			cut++
		}
	}
	ended, often := 0, 0
	for num, hos := range sys.hosts {
		if ends[num] >= faultEnds {
			often++
		}
		rec.printf("host %s: at most %d MB, ended %d times over its memory", hos.name, peaks[num], ends[num])
		ended += ends[num]
	}
	rec.printf("%d streams: %d whole, %d at sound engines closed without an answer, %d more of them cut; hosts ended %d times", len(answers), whole, lost, cut, ended)
	rec.printf("LOST breaks from %d lost requests on: %d; Fault from %d hosts on that ended %d times: %d", lostBound+1, lost, faultHosts, faultEnds, often)
	return lost > lostBound || often >= faultHosts, nil
}
