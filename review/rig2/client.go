package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const hostName = "ficu95.example"

var keys = []string{"i9n73hh2b9wu3fexd9dn", "n2ctnfzs989anu6wsjnb"}

// tenantRate and tenantBurst are the limit of the tenant, in tokens.
var tenantRate, tenantBurst = 281217, 281217

// tenant is a further tenant of the configuration, which has one key.
type tenant struct {
	name, key   string
	rate, burst int
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout                     int
	maxAttempts                 int
	resumable                   bool
}

// configure writes a configuration, whose acknowledgement is the store's.
func configure(sto *platformStore, version int, routes []route, further ...tenant) {
	var list []map[string]any
	tenants := []any{map[string]any{
		"name": "hule930", "api_keys": keys, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": tenantRate, "burst": tenantBurst,
	}}
	for _, ten := range further {
		tenants = append(tenants, map[string]any{
			"name": ten.name, "api_keys": []string{ten.key}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": ten.rate, "burst": ten.burst,
		})
	}
	for _, rou := range routes {
		list = append(list, map[string]any{
			"name": rou.name, "hostname": hostName, "path_prefix": rou.prefix, "kind": rou.kind, "timeout_ms": rou.timeout, "target_latency_ms": 100,
			"priority": 0, "service": rou.service, "max_attempts": rou.maxAttempts, "public": false, "sticky": false, "resumable": rou.resumable,
		})
	}
	known := []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 290, "protocol": "h1", "tls": false}}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": known,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
	rev := sto.put("op/config", data, 0)
	record("operator: configuration %d acknowledged at revision %d, %d routes, %d tenants", version, rev, len(routes), len(tenants))
}

// result is a client attempt as the client saw it.
type result struct {
	id, path string
	sent     time.Time
	status   int
	signed   bool
	body     string
	err      error
}

func (res result) served() bool {
	return res.err == nil && res.status == http.StatusOK && res.signed && res.body == plainBody(res.id)
}

var lastID atomic.Int64

func nextID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// attempt sends one request on a new connection, with the request target as given.
func attempt(address, method, target string, left time.Duration, header ...string) result {
	return attemptWithKey(address, method, target, keys[0], left, header...)
}

func attemptWithKey(address, method, target, key string, left time.Duration, header ...string) result {
	res := result{id: nextID(), path: target, sent: time.Now()}
	con, err := net.DialTimeout("tcp", address, min(left, time.Second))
	if err != nil {
		res.err = err
		return res
	}
	defer con.Close()
	con.SetDeadline(res.sent.Add(left))
	text := method + " " + target + " HTTP/1.1\r\nHost: " + hostName + "\r\nRequest-Id: " + res.id + "\r\nDeadline-Ms: " + strconv.FormatInt(left.Milliseconds(), 10) +
		"\r\nAuthorization: Bearer " + key + "\r\n"
	for _, line := range header {
		text += line + "\r\n"
	}
	if _, res.err = io.WriteString(con, text+"\r\n"); res.err != nil {
		return res
	}
	rep, err := http.ReadResponse(bufio.NewReader(con), &http.Request{Method: method})
	if err != nil {
		res.err = err
		return res
	}
	res.status, res.signed = rep.StatusCode, rep.Header.Get("Response-Signature") != ""
	data, err := io.ReadAll(rep.Body)
	res.body, res.err = string(data), err
	return res
}

// directory is a client's list of addresses, with the machines that it may ask for one.
type directory struct {
	mutex     sync.Mutex
	hosts     []*host
	addresses []string
	expires   time.Time
}

func (dir *directory) set(hosts []*host) {
	dir.mutex.Lock()
	defer dir.mutex.Unlock()
	dir.hosts = hosts
}

// address returns an address by chance, of a list that is asked for anew each time its time is over. A list is kept if
// no new one can be had.
func (dir *directory) address() (string, bool) {
	dir.mutex.Lock()
	defer dir.mutex.Unlock()
	if time.Now().After(dir.expires) {
		order := rand.Perm(len(dir.hosts))
		for _, idx := range order[:min(3, len(order))] {
			if dir.ask(dir.hosts[idx]) {
				break
			}
		}
	}
	if len(dir.addresses) == 0 {
		return "", false
	}
	return dir.addresses[rand.Intn(len(dir.addresses))], true
}

func (dir *directory) ask(hst *host) bool {
	cli := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rep, err := cli.Get("http://" + hst.at(hst.dir) + "/resolve?name=" + hostName + "&region=bajio&zone=" + hst.zone)
	if err != nil {
		return false
	}
	defer rep.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if json.NewDecoder(rep.Body).Decode(&body) != nil || rep.StatusCode != http.StatusOK || len(body.Addresses) == 0 {
		return false
	}
	dir.addresses, dir.expires = body.Addresses, time.Now().Add(time.Duration(min(body.TTL, 5)*float64(time.Second)))
	return true
}

// request is a client's request with its attempts.
type request struct {
	sent   time.Time
	served bool
	last   result
}

// ask sends a safe request and repeats it once, as the clients of the pages do.
func ask(dir *directory, target string, deadline time.Duration) request {
	req := request{sent: time.Now()}
	for try := 0; try < 2; try++ {
		left := deadline - time.Since(req.sent)
		if left <= 0 {
			break
		}
		address, found := dir.address()
		if !found {
			req.last = result{sent: req.sent, err: fmt.Errorf("no address")}
			time.Sleep(left / 3)
			continue
		}
		req.last = attempt(address, http.MethodGet, target, left)
		if req.served = req.last.served(); req.served || req.last.status >= 400 && req.last.status < 429 {
			break
		}
		time.Sleep(min(left/3, 200*time.Millisecond))
	}
	return req
}

// traffic sends safe requests at a rate until stopped, and collects them.
type traffic struct {
	mutex    sync.Mutex
	requests []request
	stop     chan struct{}
	pending  sync.WaitGroup
}

func startTraffic(dir *directory, target string, interval time.Duration) *traffic {
	tra := &traffic{stop: make(chan struct{})}
	go func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-tra.stop:
				return
			}
			tra.pending.Add(1)
			go func() {
				defer tra.pending.Done()
				req := ask(dir, target, time.Second)
				tra.mutex.Lock()
				defer tra.mutex.Unlock()
				tra.requests = append(tra.requests, req)
			}()
		}
	}()
	return tra
}

// end stops the traffic and returns its requests.
func (tra *traffic) end() []request {
	close(tra.stop)
	time.Sleep(100 * time.Millisecond)
	tra.pending.Wait()
	return tra.requests
}

// served counts the requests that were sent from one time to another, and those of them that were served.
func served(requests []request, from, until time.Time) (sent, good int) {
	ends := map[string]int{}
	for _, req := range requests {
		if req.sent.Before(from) || !req.sent.Before(until) {
			continue
		}
		sent++
		if req.served {
			good++
			continue
		}
		end := fmt.Sprint(req.last.status)
		if req.last.status == 0 {
			end = fmt.Sprint(req.last.err)
		} else if line, _, _ := strings.Cut(req.last.body, "\n"); line != "" {
			end += " " + line[:min(len(line), 120)]
		}
		ends[end]++
	}
	record("requests sent from %.1f s to %.1f s: %d, served %d", from.Sub(began).Seconds(), until.Sub(began).Seconds(), sent, good)
	for end, count := range ends {
		record("  not served, last try: %d x %s", count, end)
	}
	return sent, good
}
