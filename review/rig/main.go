// Command rig plays the cases of the review: it starts the hosts and the fake of the store as processes of their
// own, and is itself their clients and engines.
//
//	rig CASE FOLDER ROOT
//
// It writes record.txt to the folder and exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// couldn't run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name, and two plays that REPORT.md names and that no folder holds: crash and tenant. Each returns
// whether the rule was broken.
var cases = map[string]func(rec *record, root string, trouble bool) (bool, error){
	"surplus": surplusCase,
	"crash":   crashCase,
	"flood":   floodCase,
	"build":   buildCase,
	"tenant":  tenantCase,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		return engineProcess(os.Args[2:])
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER ROOT")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := cases[os.Args[1]](rec, os.Args[3], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.printf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		rec.printf("result: the rule was broken")
		return exitBroken
	default:
		rec.printf("result: the rule held")
		return exitHeld
	}
}
