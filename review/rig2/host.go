package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is a machine that runs the role of the deploy file as a process.
type host struct {
	name, zone, ip         string
	front, ready, dir      int
	peer                   int
	command                *exec.Cmd
	ended                  chan struct{}
	settings, log, storeAt string
}

var zones = map[string]string{"leon-a": "bajio", "leon-b": "bajio", "qro-a": "bajio", "qro-b": "bajio"}

var (
	portsMutex sync.Mutex
	portsUsed  = map[int]bool{}
)

// freePort returns a port of the address that nothing listens on and that wasn't returned before.
func freePort(ip string) int {
	portsMutex.Lock()
	defer portsMutex.Unlock()
	for range 200 {
		lis, err := net.Listen("tcp", ip+":0")
		if err != nil {
			continue
		}
		port := lis.Addr().(*net.TCPAddr).Port
		lis.Close()
		if !portsUsed[port] {
			portsUsed[port] = true
			return port
		}
	}
	cannotRun("no free port on %s", ip)
	return 0
}

// newHost returns a machine with free ports on a loopback address of its own.
func newHost(name, zone, ip, storeAt string) *host {
	hst := &host{name: name, zone: zone, ip: ip, storeAt: storeAt}
	hst.front, hst.ready, hst.dir, hst.peer = freePort(ip), freePort(ip), freePort(ip), freePort(ip)
	hst.settings = filepath.Join(temporary, name+".json")
	hst.log = filepath.Join(temporary, name+".log")
	return hst
}

func (hst *host) at(port int) string { return hst.ip + ":" + strconv.Itoa(port) }

// fields are the settings that the platform fills into the template.
func (hst *host) fields() map[string]any {
	return map[string]any{
		"node": hst.name, "zone": hst.zone, "ip": hst.ip, "zones": zones, "region": zones[hst.zone],
		"listen":     map[string]any{"front": hst.at(hst.front), "ready": hst.at(hst.ready), "directory": hst.at(hst.dir)},
		"port_range": []any{hst.peer, hst.peer},
		"platform":   map[string]any{"address": hst.storeAt},
		"limits":     map[string]any{"cpu_share": 0.4, "cores": 1},
		"bounds": map[string]any{
			"revoke_ms": 5000, "strict_revoke": true, "grace_s": 8, "ttl_max_s": 5, "retry_budget_ratio": 0.2, "budget_window_s": 10,
			"budget_slack": 52, "quota_slack": 140000, "quota_window_s": 8, "quota_over": 0.1,
		},
	}
}

var (
	sections = regexp.MustCompile(`\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/([a-z_.0-9]+)\}\}`)
	gaps     = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

func lookUp(fields any, path string) any {
	for _, name := range strings.Split(path, ".") {
		switch val := fields.(type) {
		case map[string]any:
			fields = val[name]
		case []any:
			num, err := strconv.Atoi(name)
			if err != nil || num >= len(val) {
				return nil
			}
			fields = val[num]
		default:
			return nil
		}
	}
	return fields
}

// fill fills the template of the deploy file, as far as that uses its language.
func fill(template string, fields map[string]any) string {
	template = sections.ReplaceAllStringFunc(template, func(text string) string {
		parts := sections.FindStringSubmatch(text)
		if val := lookUp(fields, parts[1]); val == nil || val == false {
			return ""
		}
		return parts[2]
	})
	return gaps.ReplaceAllStringFunc(template, func(text string) string {
		parts := gaps.FindStringSubmatch(text)
		val := lookUp(fields, parts[1])
		if val == nil {
			return ""
		}
		if parts[2] == "" {
			return fmt.Sprint(val)
		}
		data, _ := json.Marshal(val)
		return string(data)
	})
}

var (
	running      = map[*host]bool{}
	runningMutex sync.Mutex
)

// start starts the machine's process.
func (hst *host) start() {
	template, err := os.ReadFile("deploy/settings.json")
	if err != nil {
		cannotRun("%v", err)
	}
	text := fill(string(template), hst.fields())
	// Machines share the loopback network here, so each has a free port for its metrics too.
	text = strings.Replace(text, ":7601", ":"+strconv.Itoa(freePort(hst.ip)), 1)
	if err := os.WriteFile(hst.settings, []byte(text), 0o600); err != nil {
		cannotRun("%v", err)
	}
	out, err := os.OpenFile(hst.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	defer out.Close()
	hst.command = exec.Command("target/lynxwell", "entry")
	hst.command.Env = append(os.Environ(), "LYNXWELL_SETTINGS="+hst.settings)
	hst.command.Stdout, hst.command.Stderr = out, out
	hst.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := hst.command.Start(); err != nil {
		cannotRun("%v", err)
	}
	hst.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		command.Wait()
		close(ended)
	}(hst.command, hst.ended)
	runningMutex.Lock()
	running[hst] = true
	runningMutex.Unlock()
	record("host %s starts at %s", hst.name, hst.at(hst.front))
}

func (hst *host) signal(sig syscall.Signal) {
	record("host %s gets signal %v", hst.name, sig)
	hst.command.Process.Signal(sig)
}

// kill kills the process and waits for its end.
func (hst *host) kill() {
	hst.signal(syscall.SIGKILL)
	<-hst.ended
	runningMutex.Lock()
	delete(running, hst)
	runningMutex.Unlock()
}

func stopAll() {
	runningMutex.Lock()
	defer runningMutex.Unlock()
	for hst := range running {
		hst.command.Process.Kill()
		<-hst.ended
	}
}

// isReady asks the machine as the platform does.
func (hst *host) isReady() bool {
	cli := http.Client{Timeout: time.Second}
	rep, err := cli.Get("http://" + hst.at(hst.ready) + "/ready")
	if err != nil {
		return false
	}
	rep.Body.Close()
	return rep.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func awaitReady(hosts []*host, limit time.Duration) {
	deadline := time.Now().Add(limit)
	for _, hst := range hosts {
		for !hst.isReady() {
			if time.Now().After(deadline) {
				cannotRun("host %s isn't ready", hst.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	record("all of %d hosts are ready", len(hosts))
}
