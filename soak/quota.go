package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/settings"
)

const (
	// laundryKey is the key of a client account with a limit of laundryRate and laundryBurst in tokens, of which each
	// of its requests costs limitCost. Its clients ask for many times that.
	laundryAccount = "laundry"
	laundryKey     = "key-of-laundry"
	laundryRate    = 200
	laundryBurst   = 200
	laundryClients = 4
	// clientPause is the time between two requests of a client.
	clientPause = 28 * time.Millisecond
	// clientTimeout is how long a client waits for an answer.
	clientTimeout = 2 * time.Second
)

// limitBounds are what hosts are told about limits: what the users tolerate beyond them.
func limitBounds() settings.Bounds {
	return settings.Bounds{LimitSlack: limitSlack, LimitOvershoot: limitOvershoot, LimitWindowSeconds: limitWindow.Seconds()}
}

// allowedInWindow returns how many requests of an account may be run within a limitWindow.
func allowedInWindow(rate, burst float64) int {
	return int(((rate*limitWindow.Seconds()+burst)*(1+limitOvershoot) + limitSlack) / limitCost)
}

// limitedClients are clients that ask for many times what their account may spend, and keep their connections for as
// long as a host accepts any.
type limitedClients struct {
	sys   *system
	key   string
	ended chan struct{}
	count int
	mutex sync.Mutex
	// sentAt is when each request was sent, by its id, and sentTo the process to which it was sent.
	sentAt map[string]time.Time
	sentTo map[string]processID
}

// processID identifies a process of a host by the host's position and the number of processes before it.
type processID struct {
	host    int
	process int64
}

// startClients starts clients that run until the context ends.
func (sys *system) startClients(ctx context.Context, count int, key string) *limitedClients {
	lcl := &limitedClients{sys: sys, key: key, ended: make(chan struct{}, count), count: count, sentAt: make(map[string]time.Time), sentTo: make(map[string]processID)}
	for num := range count {
		go func() {
			lcl.run(ctx, num)
			lcl.ended <- struct{}{}
		}()
	}
	return lcl
}

// wait waits until all clients have ended.
func (lcl *limitedClients) wait() {
	for range lcl.count {
		<-lcl.ended
	}
}

// run sends requests to one host for as long as that accepts connections, and then to the next one.
func (lcl *limitedClients) run(ctx context.Context, num int) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	hosts := lcl.sys.hosts
	chosen := num
	for count := 0; ctx.Err() == nil; count++ {
		id := fmt.Sprintf("%s-%d-%d", lcl.key, num, count)
		if !lcl.send(ctx, transport, chosen%len(hosts), id) {
			chosen++
		}
		sleep(ctx, clientPause)
	}
}

// send sends one request, and reports whether an answer arrived.
func (lcl *limitedClients) send(ctx context.Context, transport *http.Transport, num int, id string) bool {
	hos := lcl.sys.hosts[num]
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hos.set.CallerAddress.String()+"/safe/x", http.NoBody)
	if err != nil {
		return false
	}
	req.Host = entrytest.HostName
	platform.EncodeRequest(req.Header, platform.ClientRequest{ID: id, Key: lcl.key, Deadline: clientTimeout})
	lcl.mutex.Lock()
	lcl.sentAt[id], lcl.sentTo[id] = time.Now(), processID{host: num, process: hos.starts.Load()}
	lcl.mutex.Unlock()
	rep, err := transport.RoundTrip(req)
	if err != nil {
		return false
	}
	defer rep.Body.Close()
	_, err = io.Copy(io.Discard, rep.Body)
	return err == nil
}

// checkLimit checks that no window has more runs of the laundry's requests than its limit allows. The runs of
// crashed engines aren't known. Each run counts, also further ones of the same request.
func (sys *system) checkLimit(lcl *limitedClients) {
	sys.t.Helper()
	var runs []runOf
	for _, eng := range sys.engines {
		if eng.hasCrashed() {
			continue
		}
		for _, run := range sys.runs(eng) {
			if sent, known := lcl.sentAt[run.ID]; known {
				runs = append(runs, runOf{id: run.ID, sent: sent, at: run.At})
			}
		}
	}
	most, allowed := mostInWindow(runs, limitWindow), allowedInWindow(laundryRate, laundryBurst)
	sys.t.Logf("account %s: %d of %d requests run, at most %d within %s, allowed %d", laundryAccount, len(runs), len(lcl.sentAt), most, limitWindow, allowed)
	if most > allowed {
		sys.t.Errorf("account %s had %d requests run within %s, allowed %d", laundryAccount, most, limitWindow, allowed)
	}
	if len(runs) == 0 {
		sys.t.Errorf("account %s had no request run", laundryAccount)
	}
}

// runOf is a run of a request at an engine.
type runOf struct {
	id       string
	sent, at time.Time
}

// firstRuns returns the first run of each request.
func firstRuns(runs []runOf) []runOf {
	first := make(map[string]runOf)
	for _, run := range runs {
		if known, found := first[run.id]; !found || run.at.Before(known.at) {
			first[run.id] = run
		}
	}
	var list []runOf
	for _, run := range first {
		list = append(list, run)
	}
	return list
}

// mostInWindow returns the highest number of runs whose requests were both sent and run within one window.
func mostInWindow(runs []runOf, window time.Duration) int {
	slices.SortFunc(runs, func(one, two runOf) int { return one.sent.Compare(two.sent) })
	most := 0
	for idx, first := range runs {
		count := 0
		for _, run := range runs[idx:] {
			if run.sent.Sub(first.sent) > window {
				break
			}
			if run.at.Sub(first.sent) <= window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
