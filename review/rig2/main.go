// Package main runs the cases of a review that can't be put as a day of the bench: it starts hosts with the command of
// the deploy file, and stand-ins of the platform's store, of engines and of clients, all on loopback addresses.
//
//	review-rig2 CASE RECORD
//
// It exits with 1 if the case's rule was broken, with 0 if it held, and with 2 if the case couldn't run. TROUBLE=0 in the
// environment leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
	// timeLimit ends a case that hangs.
	timeLimit = 112 * time.Second
)

var (
	temporary   string
	recordMutex sync.Mutex
	recordFile  *os.File
	began       = time.Now()
)

// record writes a line to the record, with the seconds since the start.
func record(format string, args ...any) {
	recordMutex.Lock()
	defer recordMutex.Unlock()
	fmt.Fprintf(recordFile, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

func exit(code int) {
	stopAll()
	os.RemoveAll(temporary)
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	record("cannot run: "+format, args...)
	fmt.Printf("cannot run: "+format+"\n", args...)
	exit(exitCannotRun)
}

// hasTrouble reports whether the case is run with its disruption.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

var cases = map[string]func() (broken bool, verdict string){
	"replaced": replaced,
	"zero":     eventZero,
	"leaving":  leaving,
	"quota":    quota,
	"tenant":   newTenant,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-rig2 CASE RECORD")
		os.Exit(exitCannotRun)
	}
	var err error
	if recordFile, err = os.Create(os.Args[2]); err != nil {
		fmt.Println(err)
		os.Exit(exitCannotRun)
	}
	if temporary, err = os.MkdirTemp("", "review-rig2-"); err != nil {
		cannotRun("%v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
			cannotRun("stopped by a signal")
		case <-time.After(timeLimit):
			cannotRun("time limit")
		}
	}()
	record("case %s, disruption: %v", os.Args[1], hasTrouble())
	broken, verdict := cases[os.Args[1]]()
	record("verdict: broken %v: %s", broken, verdict)
	fmt.Printf("broken %v: %s\n", broken, verdict)
	if os.Getenv("KEEP_LOGS") != "" {
		os.CopyFS(os.Getenv("KEEP_LOGS"), os.DirFS(temporary))
	}
	if broken {
		exit(exitBroken)
	}
	exit(exitHeld)
}
