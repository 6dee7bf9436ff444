package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The variables by which a case tells its engines what they do.
const (
	// envJunk has the faulty engines send junk, instead of answers without a length.
	envJunk = "JUNK"
	// envEvents is the number of events of a stream, if it isn't streamEvents.
	envEvents = "EVENTS"
)

const (
	streamEvents = 76
	streamStep   = 25 * time.Millisecond
	modelEngines = 18
	modelSlots   = 10
	// faultyShare is the largest share of engines that the site file gives for garble.
	faultyShare = 0.6
)

// engineProcess runs one model engine as a process of its own, so that it can be killed:
//
//	rig engine ID ZONE FAULTY START VERSION
//
// It prints its address, and then each request that it runs.
func engineProcess(args []string) int {
	if len(args) != 5 {
		return exitNotRun
	}
	eng, err := newEngine(args[0], modelService, args[1], modelSlots, "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	startMillis, err := strconv.ParseInt(args[3], 10, 64)
	if err != nil {
		return exitNotRun
	}
	start := time.UnixMilli(startMillis)
	eng.events, eng.work, eng.version = streamEvents, streamStep, args[4]
	if events, err := strconv.Atoi(os.Getenv(envEvents)); err == nil {
		eng.events = events
	}
	var mutex sync.Mutex
	owed := rand.Float64()
	eng.unframed = func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		inWindow := time.Since(start) >= 0 && time.Since(start)%(unframedLength+unframedPause) < unframedLength
		if args[2] != "1" || !inWindow {
			return false
		}
		owed += unframedOf
		if owed < 1 {
			return false
		}
		owed--
		return true
	}
	if os.Getenv(envJunk) == "1" {
		eng.prefill = junkPrefill
		eng.unframed = func() bool { return false }
		junkOwed := rand.Float64()
		eng.junk = func() bool {
			mutex.Lock()
			defer mutex.Unlock()
			if args[2] != "1" || time.Since(start) < 0 || time.Since(start)%(junkWindow+junkPause) >= junkWindow {
				return false
			}
			junkOwed += junkOf
			if junkOwed < 1 {
				return false
			}
			junkOwed--
			fmt.Println("sends junk")
			return true
		}
	}
	fmt.Println(eng.listener.Addr())
	eng.ran = func(rnn run) { fmt.Printf("runs %s for %s\n", rnn.id, rnn.tenant) }
	go func() {
		// The process ends with the case.
		_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
		os.Exit(exitHeld)
	}()
	eng.serve()
	return exitHeld
}

// crashEngine is an engine in a process of its own, as the case sees it.
type crashEngine struct {
	id, zone, address, version string
	// faulty is set if the engine is one of those that the disruption strikes.
	faulty  bool
	process *exec.Cmd
	// ended is closed when the process was killed, left when the engine leaves without saying so before.
	ended, left chan struct{}
}

// startEngine starts the engine of a place. From the start on, the faulty ones do what the case asks for.
func startEngine(sys *system, place int, start time.Time) (*crashEngine, error) {
	return startVersion(sys, place, start, firstVersion)
}

func startVersion(sys *system, place int, start time.Time, version string) (*crashEngine, error) {
	cre := &crashEngine{id: "i-0" + newID()[:8], zone: zones[place%len(zones)], version: version, ended: make(chan struct{}), left: make(chan struct{})}
	faulty := "0"
	if float64(place) < faultyShare*modelEngines-0.5 {
		faulty, cre.faulty = "1", true
	}
	cre.process = exec.Command(os.Args[0], "engine", cre.id, cre.zone, faulty, strconv.FormatInt(start.UnixMilli(), 10), version)
	// The pipe is closed when the case ends, which ends the process.
	if _, err := cre.process.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := cre.process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cre.process.Start(); err != nil {
		return nil, err
	}
	sys.started(cre.process)
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("engine %s gave no address", cre.id)
	}
	cre.address = lines.Text()
	go func() {
		for lines.Scan() {
			sys.rec.printf("engine %s %s", cre.id, lines.Text())
			if fields := strings.Fields(lines.Text()); sys.ran != nil && len(fields) == 4 {
				sys.ran(run{engine: cre.id, id: fields[1], tenant: fields[3], began: time.Now()})
			}
		}
	}()
	go cre.beat(sys)
	return cre, nil
}

// beat keeps the engine's entry in the store. It goes three heartbeats after the engine has crashed.
func (cre *crashEngine) beat(sys *system) {
	for seq := 1; ; seq++ {
		entry := map[string]any{"service": modelService, "address": cre.address, "zone": cre.zone, "version": cre.version, "slots": modelSlots, "state": "ready",
			"cold_left_ms": 0, "seq": seq, "stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}}
		if err := sys.put("servers/"+cre.id, entry, false); err != nil {
			return
		}
		select {
		case <-time.After(1200 * time.Millisecond):
		case <-cre.left:
			_ = sys.put("servers/"+cre.id, nil, true)
			return
		case <-cre.ended:
			time.Sleep(3600 * time.Millisecond)
			_ = sys.put("servers/"+cre.id, nil, true)
			return
		}
	}
}
