package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	secondVersion = "v1.1"
	// buildEvents makes streams of 10 s; a sheet's streams have up to ten times the mean of 76 events.
	buildEvents  = 400
	buildStreams = 120
	// leaveAfter is when the last engine of the old version leaves, after the first stream began, and killAfter when all hosts
	// are killed after that.
	leaveAfter = 3 * time.Second
	killAfter  = time.Second
	// lingerTime is how long an engine that leaves serves on: drain_ms and a little longer.
	lingerTime = 3 * time.Second
	// clientTries bounds the attempts of a client for one stream.
	clientTries  = 3
	restartPause = time.Second
	// mixedBound is from the rule: more than two streams.
	mixedBound = 2
)

// buildCase has engines of two versions side by side, of which the last one of the old version leaves; then all hosts are
// killed and started again, and clients take their streams up. The rule ORDER: no more than two streams hold events from
// engines of two software versions.
func buildCase(rec *record, root string, trouble bool) (bool, error) {
	_ = os.Setenv(envEvents, fmt.Sprint(buildEvents))
	sys, err := startSystem(rec, root, 6)
	if sys != nil {
		defer sys.stop()
	}
	if err != nil {
		return false, err
	}
	unlimited := account(tenantName, apiKey)
	unlimited["rate_per_s"], unlimited["burst"] = 0, 0
	if err := sys.put("op/config", configuration(1, unlimited), false); err != nil {
		return false, err
	}
	never := time.Now().Add(time.Hour)
	var old []*crashEngine
	for place := range modelEngines {
		version := secondVersion
		if place < 2 {
			version = firstVersion
		}
		eng, err := startVersion(sys, place, never, version)
		if err != nil {
			return false, err
		}
		if version == firstVersion {
			old = append(old, eng)
		}
	}
	if err := sys.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	cli := newClient()
	var mutex sync.Mutex
	mixed, whole, refused, cut, resumed := 0, 0, 0, 0, 0
	var wait sync.WaitGroup
	for num := range buildStreams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			text, again := takeStream(sys, cli, num)
			versions := strings.Contains(text, "by "+firstVersion+"\n") && strings.Contains(text, "by "+secondVersion+"\n")
			mutex.Lock()
			defer mutex.Unlock()
			resumed += again
			switch {
			case versions:
				mixed++
			case strings.Count(text, "\n\n") == buildEvents:
				whole++
			case text == "":
				refused++
			default:
				cut++
			}
		}()
		time.Sleep(16 * time.Millisecond)
	}
	if trouble {
		time.Sleep(leaveAfter - buildStreams*16*time.Millisecond)
		for _, eng := range old {
			rec.printf("engine %s, %s, leaves: its entry goes, and it serves on", eng.id, eng.version)
			close(eng.left)
			time.AfterFunc(lingerTime, func() { _ = eng.process.Process.Kill() })
		}
		time.Sleep(killAfter)
		for _, hos := range sys.hosts {
			rec.printf("host %s is killed", hos.name)
			_ = hos.process.Process.Kill()
		}
		for _, hos := range sys.hosts {
			_ = hos.process.Wait()
		}
		time.Sleep(restartPause)
		for _, hos := range sys.hosts {
			if err := sys.runHost(hos); err != nil {
				return false, err
			}
		}
	}
	wait.Wait()
	rec.printf("%d streams: %d whole at one version, %d at two versions, %d cut for good, %d refused; %d were taken up again", buildStreams, whole, mixed, cut, refused, resumed)
	return mixed > mixedBound, nil
}

// takeStream sends a request and takes its stream up again while it is broken off, within the client's deadline. It returns
// all events, and how often the stream was taken up.
func takeStream(sys *system, cli *client, num int) (string, int) {
	deadline := time.Now().Add(15 * time.Second)
	text, first, again := "", "", 0
	for tries := 0; tries < clientTries && time.Now().Before(deadline); {
		adrs, err := sys.addresses(zones[num%len(zones)])
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		tries++
		id := newID()
		header := map[string]string{"Authorization": "Bearer " + apiKey, "Model": "m", "Token-Counts": "600,2000", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:60,%x:540", num+1000)}
		got := strings.Count(text, "\n\n")
		if got > 0 {
			header["Last-Event-Id"], header["Resumes"] = fmt.Sprint(got), first
			again++
		}
		adr := adrs[num%len(adrs)]
		sys.rec.printf("client sends %s to %s, after event %d", id, adr, got)
		ans := cli.send(adr, "POST", streamPath+"2f", id, header, fmt.Sprintf("plan %d", num), time.Until(deadline))
		sys.rec.printf("client got for %s: status %d, %d events, error %v", id, ans.status, strings.Count(ans.body, "\n\n"), ans.err)
		if ans.status == 200 {
			if first == "" && ans.body != "" {
				first = id
			}
			end := strings.LastIndex(ans.body, "\n\n")
			if end >= 0 {
				text += ans.body[:end+2]
			}
			if ans.err == nil {
				return text, again
			}
		}
		pause := 200 * time.Millisecond
		if ans.status == 503 || ans.status == 429 {
			seconds, err := strconv.ParseFloat(ans.header.Get("Retry-After"), 64)
			if err != nil {
				return text, again
			}
			pause = min(time.Duration(seconds*float64(time.Second)), time.Until(deadline)/3)
		}
		time.Sleep(pause)
	}
	return text, again
}
