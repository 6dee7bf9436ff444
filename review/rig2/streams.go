package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const streamEvents = 6

// streamCase runs one resumable stream, under which an engine crashes at an event. sent returns what is sent of that event.
func streamCase(firstEvent, crashAt int, eventText func(id string, number int) string, sent func(text string) string) (bool, string) {
	sto := mustStore()
	configure(sto, 1, []route{{name: "r-1", prefix: "/lohu930/", kind: "streaming", service: service, timeout: 15000, maxAttempts: 2, resumable: true}})
	var once sync.Once
	engines := startEngines(sto, 6, func(eng *engine) {
		eng.events, eng.firstEvent, eng.step, eng.eventText = streamEvents, firstEvent, 100*time.Millisecond, eventText
		eng.beforeEvent = func(_ *engine, _ string, number int, text string) (string, bool) {
			crashes := false
			if hasTrouble() && number == crashAt {
				once.Do(func() { crashes = true })
			}
			if crashes {
				text = sent(text)
			}
			return text, crashes
		}
	})
	hosts := startHosts(sto)
	awaitReady(hosts, 10*time.Second)
	time.Sleep(lead)
	res := attempt(hosts[0].at(hosts[0].front), http.MethodGet, "/lohu930/2f", 12*time.Second)
	record("client: status %d, signed %v, error %v, body:\n%s", res.status, res.signed, res.err, shortened(res.body))
	for _, run := range allRuns(engines) {
		record("engine %s ran %s with Last-Event-Id %q", run.engine, run.id, run.lastEvent)
	}
	if res.status == 0 {
		cannotRun("the request got no answer: %v", res.err)
	}
	return checkStream(res, firstEvent, eventText)
}

func shortened(body string) string {
	var lines []string
	for _, line := range strings.Split(body, "\n") {
		if len(line) > 200 {
			line = fmt.Sprintf("%s... (%d bytes)", line[:60], len(line))
		}
		lines = append(lines, "    |"+line)
	}
	return strings.Join(lines, "\n")
}

// checkStream checks the pieces that a client received: in their order, each whole and once, and all of them if the
// answer is complete.
func checkStream(res result, firstEvent int, eventText func(id string, number int) string) (bool, string) {
	next := firstEvent
	for _, event := range strings.SplitAfter(res.body, "\n\n") {
		if event == "" {
			continue
		}
		if want := eventText(res.id, next); event != want {
			if res.err != nil && strings.HasPrefix(want, event) {
				break
			}
			return true, fmt.Sprintf("where piece %d is due, the client got %q", next, cutText(event))
		}
		next++
	}
	if res.err == nil && res.status == http.StatusOK && next != firstEvent+streamEvents {
		return true, fmt.Sprintf("the answer ended as complete before piece %d", next)
	}
	return false, fmt.Sprintf("%d pieces in order, error %v", next-firstEvent, res.err)
}

func cutText(text string) string {
	if len(text) > 160 {
		return text[:40] + "..." + text[len(text)-100:]
	}
	return text
}

// eventZero: an engine whose ids begin with 0 crashes behind its first event. FIRST=1 lets them begin with 1.
func eventZero() (bool, string) {
	first := 0
	if os.Getenv("FIRST") == "1" {
		first = 1
	}
	return streamCase(first, first, shortEvent, func(text string) string { return text })
}
