package cmd_test

import (
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"lynxwell.dev/lynxwell/cmd"
	"lynxwell.dev/lynxwell/embedded"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"lynxwell": func() { os.Exit(cmd.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// addressNames are the environment variables that TestScripts sets to free addresses.
var addressNames = []string{"CALLER", "PEER", "OPERATOR", "PLATFORM", "ENGINE"}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata/script",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"envsubst": substitute, "retry": retry},
		Setup: func(env *testscript.Env) error {
			for _, name := range addressNames {
				env.Setenv(name, embedded.NextAddress().String())
			}
			return nil
		},
	})
}

// substitute copies a file and expands the script's variables in it.
func substitute(ts *testscript.TestScript, _ bool, args []string) {
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}

// The limits of retry.
const (
	retryAttempts = 100
	retryDelay    = 50 * time.Millisecond
)

// retry runs a command until it succeeds, at most retryAttempts times.
func retry(ts *testscript.TestScript, _ bool, args []string) {
	ticker := time.NewTicker(retryDelay)
	defer ticker.Stop()
	var err error
	for range retryAttempts {
		if err = ts.Exec(args[0], args[1:]...); err == nil {
			return
		}
		<-ticker.C
	}
	ts.Fatalf("%v: %v", args, err)
}
