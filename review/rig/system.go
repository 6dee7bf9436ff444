package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// hostName is the host name of all routes, region that of all failure domains.
const (
	hostName = "ficu95.example"
	region   = "bajio"
)

// zones are those of the deployment vitalmesa-menus.
var zones = []string{"leon-a", "leon-b", "qro-a", "qro-b"}

// record writes record.txt. Each line begins with the seconds since the start of the case.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (rec *record) printf(format string, args ...any) {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	fmt.Fprintf(rec.file, "%8.3f ", time.Since(rec.start).Seconds())
	fmt.Fprintf(rec.file, format, args...)
	fmt.Fprintln(rec.file)
}

// host is a process of the program under test.
type host struct {
	name, zone                     string
	caller, ready, directory, peer string
	metrics                        string
	process                        *exec.Cmd
	settings                       string
}

// system is a small deployment: a fake of the store, hosts and engines.
type system struct {
	rec   *record
	dir   string
	root  string
	store string
	// mutex guards procs.
	mutex sync.Mutex
	procs []*exec.Cmd
	hosts []*host
	// nextPort is the offset of the next port to try; each case begins at another one.
	nextPort int
	// ran is called with each request that an engine's process runs; nil for nothing.
	ran func(run)
}

const (
	// The ports of the hosts are below those that the operating system gives to outgoing connections.
	firstPort = 12000
	portCount = 18000
	portTries = 100
)

// freeAddress returns a loopback address with a port that is free now and that no other host has.
func (sys *system) freeAddress() (string, error) {
	var last error
	for range portTries {
		adr := fmt.Sprintf("127.0.0.1:%d", firstPort+sys.nextPort%portCount)
		sys.nextPort++
		lis, err := net.Listen("tcp", adr)
		if err != nil {
			last = err
			continue
		}
		return adr, lis.Close()
	}
	return "", last
}

// startSystem starts the store and the hosts. Call stop in any case.
func startSystem(rec *record, root string, hostCount int) (*system, error) {
	dir, err := os.MkdirTemp("", "lynxwell-review-")
	if err != nil {
		return nil, err
	}
	sys := &system{rec: rec, dir: dir, root: root, nextPort: rand.Intn(portCount)}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		sys.stop()
		os.Exit(exitNotRun)
	}()
	if err := sys.startStore(); err != nil {
		return sys, err
	}
	for num := range hostCount {
		if err := sys.startHost(num); err != nil {
			return sys, err
		}
	}
	return sys, nil
}

func (sys *system) startStore() error {
	cmd := exec.Command(filepath.Join(sys.root, "review/bin/lynxwell-standin"), "standin", "platform", "--listen", "127.0.0.1:0")
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	sys.started(cmd)
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return err
	}
	sys.store = strings.TrimSpace(strings.TrimPrefix(line, "listening on "))
	return nil
}

// startHost starts `target/lynxwell entry`, the command of the deploy file, with the settings that
// deploy/settings.json gives for the deployment.
func (sys *system) startHost(num int) error {
	hos := &host{name: fmt.Sprintf("front-%d", num+1), zone: zones[num%len(zones)]}
	for _, adr := range []*string{&hos.caller, &hos.ready, &hos.directory, &hos.peer, &hos.metrics} {
		free, err := sys.freeAddress()
		if err != nil {
			return err
		}
		*adr = free
	}
	regions := make(map[string]string)
	for _, zone := range zones {
		regions[zone] = region
	}
	data, err := json.Marshal(map[string]any{
		"Name": hos.name, "Domain": hos.zone, "Regions": regions,
		"CallerAddress": hos.caller, "ReadyAddress": hos.ready, "DirectoryAddress": hos.directory,
		"PeerAddress": hos.peer, "MetricsAddress": hos.metrics, "StoreAddress": sys.store,
		"Cores": 0.4, "CoreSpeed": 1,
		"Scheduling": map[string]string{"Shares": "Weighted", "PredictTurns": "true"},
		"Bounds": map[string]any{
			"RevokeMilliseconds": 5000, "RevocationIsStrict": "true", "GraceSeconds": 8, "MaxKeepSeconds": 5,
			"RepeatRatio": 0.2, "RepeatWindowSeconds": 10, "RepeatSlack": 52,
			"LimitSlack": 140000, "LimitWindowSeconds": 8, "LimitOvershoot": 0.1,
		},
	})
	if err != nil {
		return err
	}
	hos.settings = filepath.Join(sys.dir, hos.name+".json")
	if err := os.WriteFile(hos.settings, data, 0o600); err != nil {
		return err
	}
	sys.hosts = append(sys.hosts, hos)
	return sys.runHost(hos)
}

func (sys *system) runHost(hos *host) error {
	log, err := os.OpenFile(filepath.Join(sys.dir, hos.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	hos.process = exec.Command(filepath.Join(sys.root, "target/lynxwell"), "entry")
	hos.process.Env = append(os.Environ(), "LYNXWELL_SETTINGS="+hos.settings)
	hos.process.Stdout, hos.process.Stderr = log, log
	if err := hos.process.Start(); err != nil {
		return err
	}
	sys.started(hos.process)
	return nil
}

// started records a process that stop has to end.
func (sys *system) started(cmd *exec.Cmd) {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	sys.procs = append(sys.procs, cmd)
}

// put writes a key to the store, as operators and engines do.
func (sys *system) put(key string, value any, del bool) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	body, err := json.Marshal(map[string]any{"Key": key, "Data": data, "Blind": true, "Delete": del})
	if err != nil {
		return err
	}
	rep, err := http.Post("http://"+sys.store+"/standin/put", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer rep.Body.Close()
	text, err := io.ReadAll(rep.Body)
	if err == nil && rep.StatusCode != http.StatusOK {
		err = fmt.Errorf("store: %s: %s", rep.Status, text)
	}
	return err
}

// awaitReady waits until all hosts are ready.
func (sys *system) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, hos := range sys.hosts {
			rep, err := http.Get("http://" + hos.ready + "/ready")
			if err != nil {
				continue
			}
			rep.Body.Close()
			if rep.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(sys.hosts) {
			return nil
		}
	}
	return fmt.Errorf("hosts aren't ready after %s", limit)
}

// addresses asks a host for the addresses that clients may use.
func (sys *system) addresses(zone string) ([]string, error) {
	var last error
	for _, hos := range sys.hosts {
		rep, err := http.Get("http://" + hos.directory + "/resolve?name=" + hostName + "&region=" + region + "&zone=" + zone)
		if err != nil {
			last = err
			continue
		}
		var list struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(rep.Body).Decode(&list)
		rep.Body.Close()
		if err == nil && len(list.Addresses) > 0 {
			return list.Addresses, nil
		}
		last = fmt.Errorf("no addresses: %v", err)
	}
	return nil, last
}

// stop ends all processes that the case started.
func (sys *system) stop() {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	for _, cmd := range sys.procs {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(sys.dir)
	}
}
