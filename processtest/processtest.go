// Package processtest runs a system of separate processes for tests: the
// stand-ins and the hosts, each the lynxwell program, over loopback TCP.
//
// # Usage
//
//	func TestMain(m *testing.M) { processtest.Main(m) }
//
//	sys := processtest.Start(t, processtest.Config{Hosts: 4, Domains: 4})
//	sys.Hosts[0].Kill()
//	dispatches := sys.Dispatches()
//
// Main has the test binary run as the lynxwell program where a test starts it
// so, which needs no build of its own.
package processtest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/cmd"
	"lynxwell.dev/lynxwell/embedded"
	"lynxwell.dev/lynxwell/engine"
	"lynxwell.dev/lynxwell/enginetest"
	"lynxwell.dev/lynxwell/format"
	"lynxwell.dev/lynxwell/load"
	"lynxwell.dev/lynxwell/operator"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/settings"
)

// envProgram has the test binary run as the lynxwell program.
const envProgram = "LYNXWELL_TEST_PROGRAM"

// The keys of the system under test.
const (
	peerKey     = "process test peer key"
	operatorKey = "process test operator key"
	accountKey  = "process test account key"
)

// AccountName is the client account of the system's one key.
const AccountName = "care-homes"

// startLimit bounds the start of the system.
const startLimit = 30 * time.Second

// Main runs the tests, or the program where a test has started it.
func Main(m *testing.M) {
	if os.Getenv(envProgram) != "" {
		go endWithParent()
		os.Exit(cmd.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// exitOrphan is the exit code of a process whose test is gone.
const exitOrphan = 9

// endWithParent ends the program when the test that started it is gone, which
// closes its standard input. A test that is ended by its time limit cleans
// nothing up, and what it left running would call at ports that others have by then.
func endWithParent() {
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(exitOrphan)
}

// Process is one running process.
type Process struct {
	Name string
	com  *exec.Cmd
	end  chan error
	// Log is the file of what it printed to its standard error.
	Log string
}

// Kill ends the process without a warning.
func (pro *Process) Kill() {
	pro.signal(syscall.SIGKILL)
}

// Freeze stops the process where it is.
func (pro *Process) Freeze() {
	pro.signal(syscall.SIGSTOP)
}

// Wake has a frozen process go on.
func (pro *Process) Wake() {
	pro.signal(syscall.SIGCONT)
}

// Hangup asks the process to read its settings again.
func (pro *Process) Hangup() {
	pro.signal(syscall.SIGHUP)
}

// Terminate asks the process for a planned stop.
func (pro *Process) Terminate() {
	pro.signal(syscall.SIGTERM)
}

func (pro *Process) signal(sig os.Signal) {
	// A process that has ended needs no signal.
	_ = pro.com.Process.Signal(sig)
}

// Wait returns the exit code when the process has ended.
func (pro *Process) Wait() int {
	<-pro.end
	return pro.com.ProcessState.ExitCode()
}

// Host is a host's process with its settings.
type Host struct {
	*Process
	Settings settings.Settings
	// Platform is the host's way to the platform.
	Platform *Link
	file     string
}

// Engine is an engine's process.
type Engine struct {
	*Process
	Address netip.AddrPort
}

// Config holds what a System is made from.
type Config struct {
	Hosts   int
	Domains int
	// Engines is the number of engines of the model service "menus"; 0 stands for 4.
	Engines int
	// Backends is the number of backend servers of the plain service "labels".
	Backends int
	// EngineFlags are added to each engine's command line.
	EngineFlags []string
	Timing      settings.Timing
	// MaxWaiting bounds the lines of the model service.
	MaxWaiting int
	Slots      int
}

// System is a system of separate processes.
type System struct {
	t        *testing.T
	cfg      Config
	dir      string
	Platform *Process
	platform netip.AddrPort
	Hosts    []*Host
	Engines  []*Engine
	Backends []*Engine
}

// Start starts the system with its configuration in force. It ends with the test.
func Start(t *testing.T, cfg Config) *System {
	t.Helper()
	if cfg.Engines == 0 {
		cfg.Engines = 4
	}
	if cfg.Slots == 0 {
		cfg.Slots = 4
	}
	sys := &System{t: t, cfg: cfg, dir: t.TempDir()}
	t.Cleanup(sys.keepLogs)
	sys.Platform, sys.platform = sys.standin("platform", "platform")
	for idx := range cfg.Engines {
		sys.Engines = append(sys.Engines, sys.engine(fmt.Sprintf("engine-%d", idx+1)))
	}
	for idx := range cfg.Backends {
		name := fmt.Sprintf("labels-%d", idx+1)
		pro, adr := sys.standin(name, "backend", "--name", name)
		sys.Backends = append(sys.Backends, &Engine{Process: pro, Address: adr})
	}
	var seeds []netip.AddrPort
	for idx := range cfg.Hosts {
		hst := sys.newHost(idx)
		seeds = append(seeds, hst.Settings.PeerAddress)
		sys.Hosts = append(sys.Hosts, hst)
	}
	for _, hst := range sys.Hosts {
		hst.Settings.Seeds = seeds
		sys.StartHost(hst)
	}
	sys.configure()
	return sys
}

func (sys *System) run(name string, args ...string) (*Process, io.Reader) {
	sys.t.Helper()
	return run(sys.t, sys.dir, name, args...)
}

// Run starts the program as a process that writes both its outputs to a file in
// the directory. It ends with the test.
func Run(t *testing.T, dir, name string, args ...string) *Process {
	t.Helper()
	pro, out := run(t, dir, name, args...)
	file, err := os.OpenFile(pro.Log, os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	go func() {
		// The process may end within a line.
		_, _ = io.Copy(file, out)
		_ = file.Close()
		pro.reap()
	}()
	return pro
}

// Standin starts a stand-in on a free port, which it names itself.
func Standin(t *testing.T, dir, name string, args ...string) (*Process, netip.AddrPort) {
	t.Helper()
	pro, out := run(t, dir, name, append(append([]string{"standin"}, args...), "--listen", "127.0.0.1:0")...)
	lines := bufio.NewReader(out)
	line, err := lines.ReadString('\n')
	assert.NilError(t, err)
	go pro.reap()
	adr, err := netip.ParseAddrPort(strings.TrimSpace(strings.TrimPrefix(line, "listening on ")))
	assert.NilError(t, err)
	return pro, adr
}

func run(t *testing.T, dir, name string, args ...string) (*Process, io.Reader) {
	t.Helper()
	pro := &Process{Name: name, end: make(chan error, 1), Log: filepath.Join(dir, name+".log")}
	log, err := os.OpenFile(pro.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	pro.com = exec.Command(os.Args[0], args...)
	pro.com.Env = append(os.Environ(), envProgram+"=1")
	pro.com.Stderr = log
	_, err = pro.com.StdinPipe()
	assert.NilError(t, err)
	out, err := pro.com.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, pro.com.Start())
	t.Cleanup(func() {
		pro.Wake()
		pro.Kill()
		pro.Wait()
		_ = log.Close()
	})
	return pro, out
}

// reap notes the end of the process once its output is closed.
func (pro *Process) reap() {
	pro.end <- pro.com.Wait()
	close(pro.end)
}

func (sys *System) standin(name string, args ...string) (*Process, netip.AddrPort) {
	sys.t.Helper()
	return Standin(sys.t, sys.dir, name, args...)
}

func (sys *System) engine(name string) *Engine {
	flags := append([]string{"engine", "--name", name, "--slots", fmt.Sprint(sys.cfg.Slots)}, sys.cfg.EngineFlags...)
	pro, adr := sys.standin(name, flags...)
	return &Engine{Process: pro, Address: adr}
}

func (sys *System) newHost(idx int) *Host {
	hst := &Host{Settings: settings.Settings{
		Name: fmt.Sprintf("host-%d", idx+1), Domain: fmt.Sprintf("domain-%c", 'a'+rune(idx%sys.cfg.Domains)),
		PeerKey: peerKey, OperatorKey: operatorKey, Timing: sys.cfg.Timing, LogLevel: "debug",
	}}
	hst.Platform = NewLink(sys.t, sys.platform)
	hst.Settings.PlatformAddress = hst.Platform.Address
	hst.file = filepath.Join(sys.dir, hst.Settings.Name+".json")
	for _, adr := range []*netip.AddrPort{&hst.Settings.CallerAddress, &hst.Settings.PeerAddress, &hst.Settings.OperatorAddress} {
		*adr = embedded.NextAddress()
	}
	return hst
}

// StartHost starts a host's process, the first time or anew.
func (sys *System) StartHost(hst *Host) {
	sys.t.Helper()
	data, err := format.Encode(hst.Settings)
	assert.NilError(sys.t, err)
	assert.NilError(sys.t, os.WriteFile(hst.file, data, 0o600))
	hst.Process, _ = sys.run(hst.Settings.Name, "serve", "--settings", hst.file)
	go hst.reap()
}

// Set returns the resources of the system.
func (sys *System) Set() resource.Set {
	set := resource.Set{
		Tiers: []resource.Tier{{Name: "Urgent", Rank: 30}, {Name: "Normal", Rank: 20}, {Name: "Routine", Rank: 10}},
		Services: []resource.Service{
			{Name: "menus", Protocol: resource.ProtocolModel, MaxWaiting: sys.cfg.MaxWaiting},
			{Name: "labels", Protocol: resource.ProtocolPlain},
		},
		ClientAccounts: []resource.ClientAccount{{
			Name: AccountName, KeyDigests: []string{resource.Digest([]byte(accountKey))}, Tiers: []string{"Normal", "Urgent", "Routine"},
		}},
	}
	for _, eng := range sys.Engines {
		set.Engines = append(set.Engines, resource.Engine{Name: eng.Name, Service: "menus", Address: eng.Address, Slots: sys.cfg.Slots})
	}
	for _, bac := range sys.Backends {
		set.Engines = append(set.Engines, resource.Engine{Name: bac.Name, Service: "labels", Address: bac.Address, Slots: 4})
	}
	return set
}

// configure has an operator write the resources as soon as a host takes them,
// and waits until they are in force everywhere.
func (sys *System) configure() {
	sys.t.Helper()
	cli := sys.Operator(sys.Hosts[0])
	set := sys.Set()
	var revision uint64
	sys.Until("configuration accepted", func(ctx context.Context) bool {
		res, err := cli.Apply(ctx, set)
		revision = res.Revision
		return err == nil
	})
	sys.Until("configuration in force", func(ctx context.Context) bool {
		sta, err := cli.Status(ctx)
		return err == nil && len(sta.Hosts) == len(sys.Hosts) && inForce(sta, revision)
	})
	sys.UntilConnected()
}

func inForce(sta operator.Status, revision uint64) bool {
	for _, hst := range sta.Hosts {
		if !hst.Reached || hst.Revision < revision || hst.View != sta.View {
			return false
		}
	}
	return true
}

// UntilConnected waits until every host lists the addresses of all.
func (sys *System) UntilConnected() {
	sys.t.Helper()
	for _, hst := range sys.Hosts {
		cli := load.NewClient(load.ClientConfig{Entries: []netip.AddrPort{hst.Settings.CallerAddress}})
		sys.Until("addresses of "+hst.Name, func(ctx context.Context) bool {
			ans, err := cli.Refresh(ctx)
			return err == nil && len(ans.Addresses) == len(sys.Hosts)
		})
		cli.Close()
	}
}

// step is how often a wait looks again.
const step = 20 * time.Millisecond

// Until waits until the condition holds, and fails the test when that takes too long.
func (sys *System) Until(what string, holds func(ctx context.Context) bool) {
	sys.t.Helper()
	ctx, cancel := context.WithTimeout(sys.t.Context(), startLimit)
	defer cancel()
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for !holds(ctx) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			sys.t.Fatalf("waited too long for: %s\n%s", what, sys.logs())
		}
	}
}

// envLogs names a directory in which failed tests leave the logs of their processes.
const envLogs = "LYNXWELL_TEST_LOGS"

// keepLogs copies the processes' logs of a failed test to where they outlast it.
func (sys *System) keepLogs() {
	root := os.Getenv(envLogs)
	if root == "" || !sys.t.Failed() {
		return
	}
	kept := filepath.Join(root, fmt.Sprintf("%s-%d", filepath.Base(sys.t.Name()), time.Now().UnixNano()))
	if err := os.CopyFS(kept, os.DirFS(sys.dir)); err != nil {
		sys.t.Logf("logs not kept: %v", err)
		return
	}
	sys.t.Logf("logs kept in %s", kept)
}

// logTail is how much of each log a failure shows, in bytes.
const logTail = 1500

func (sys *System) logs() string {
	text := ""
	for _, hst := range sys.Hosts {
		data, _ := os.ReadFile(hst.Log)
		text += "== " + hst.Name + "\n" + string(data[max(0, len(data)-logTail):]) + "\n"
	}
	return text
}

// Operator returns a client of the host's interface for operators.
func (sys *System) Operator(hst *Host) *operator.Client {
	cli := operator.NewClient(operator.ClientConfig{Address: hst.Settings.OperatorAddress, Key: operatorKey})
	sys.t.Cleanup(cli.Close)
	return cli
}

// PlatformAddress returns where the platform listens.
func (sys *System) PlatformAddress() netip.AddrPort {
	return sys.platform
}

// Entries returns the callers' addresses of all hosts.
func (sys *System) Entries() []netip.AddrPort {
	var entries []netip.AddrPort
	for _, hst := range sys.Hosts {
		entries = append(entries, hst.Settings.CallerAddress)
	}
	return entries
}

// Caller returns a caller that behaves as documented.
func (sys *System) Caller(cfg load.ClientConfig) *load.Client {
	if cfg.Entries == nil {
		cfg.Entries = sys.Entries()
	}
	cfg.Key = accountKey
	cli := load.NewClient(cfg)
	sys.t.Cleanup(cli.Close)
	return cli
}

// Post sends a JSON body to a stand-in's switch.
func (sys *System) Post(adr netip.AddrPort, path string, body any) {
	sys.t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(sys.t, err)
	rep, err := http.Post("http://"+adr.String()+path, "application/json", bytes.NewReader(data))
	assert.NilError(sys.t, err)
	assert.NilError(sys.t, rep.Body.Close())
}

// PlatformFaults replaces what is wrong with the platform.
func (sys *System) PlatformFaults(fau platformtest.Faults) {
	sys.t.Helper()
	sys.Post(sys.platform, platformtest.PathFaults, fau)
}

// EngineFaults replaces what is wrong with an engine.
func (sys *System) EngineFaults(eng *Engine, fau enginetest.Faults) {
	sys.t.Helper()
	sys.Post(eng.Address, enginetest.PathFaults, fau)
}

// Dispatches returns every dispatch that any engine or backend server received.
func (sys *System) Dispatches() []engine.DispatchRecord {
	sys.t.Helper()
	var all []engine.DispatchRecord
	for _, eng := range append(append([]*Engine(nil), sys.Engines...), sys.Backends...) {
		all = append(all, sys.DispatchesOf(eng)...)
	}
	return all
}

// DispatchesOf returns every dispatch that the engine received.
func (sys *System) DispatchesOf(eng *Engine) []engine.DispatchRecord {
	sys.t.Helper()
	rep, err := http.Get("http://" + eng.Address.String() + enginetest.PathDispatches)
	assert.NilError(sys.t, err)
	defer rep.Body.Close()
	var some []engine.DispatchRecord
	assert.NilError(sys.t, json.NewDecoder(rep.Body).Decode(&some))
	return some
}

// PostChat sends one chat request to the address under the id and returns the answer.
func (sys *System) PostChat(ctx context.Context, adr netip.AddrPort, id, text string) (int, string) {
	chat := engine.ChatRequest{Model: "menus", Messages: []engine.Message{{Role: "user", Content: text}}, MaxTokens: 4}
	data, err := json.Marshal(chat)
	if err != nil {
		return 0, err.Error()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+adr.String()+engine.PathChat, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+accountKey)
	req.Header.Set("Idempotency-Key", id)
	rep, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer rep.Body.Close()
	body, err := io.ReadAll(rep.Body)
	if err != nil {
		return rep.StatusCode, err.Error()
	}
	return rep.StatusCode, string(body)
}
