// Command mutate checks that the tests detect the removal of guards. In a copy of
// the sources it removes one guard at a time and runs the tests that must fail
// without that guard.
//
// # Usage
//
//	go run ./tools/mutate            # every guard
//	go run ./tools/mutate -only Fence
//
// It prints a table, and exits with code 1 if a removal isn't detected.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"
)

// mutation removes one guard.
type mutation struct {
	// name describes the guard.
	name string
	// old is replaced by new in the file, which must contain old exactly once.
	file, old, new string
	// test holds the arguments of go test that run the tests.
	test []string
}

// knownRedFile names a test that may fail without any mutation at the start of each line.
const knownRedFile = "KNOWN-RED.txt"

// testLimit bounds the tests of one mutation.
const testLimit = 5 * time.Minute

func main() {
	only := flag.String("only", "", "run only the mutations whose name contains this text")
	flag.Parse()
	if err := run(context.Background(), *only); err != nil {
		fmt.Fprintln(os.Stderr, "mutate:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, only string) error {
	dir, err := os.MkdirTemp("", "lynxwell-mutate-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := copyTree(ctx, dir); err != nil {
		return err
	}
	red, err := os.ReadFile(knownRedFile)
	if err != nil {
		return err
	}
	knownRed := knownRedTests(string(red))
	undetected := 0
	fmt.Println("| guard removed | detected by | test output |\n|---|---|---|")
	for _, mut := range allMutations() {
		if !strings.Contains(mut.name, only) {
			continue
		}
		detected, line, err := try(ctx, dir, knownRed, mut)
		if err != nil {
			return err
		}
		if !detected {
			undetected++
			line = "NOT DETECTED"
		}
		fmt.Printf("| %s | `go test %s` | %s |\n", mut.name, strings.Join(mut.test, " "), line)
	}
	if undetected > 0 {
		return fmt.Errorf("%d removals of guards weren't detected", undetected)
	}
	return nil
}

// allMutations returns the mutations in the order in which they run.
func allMutations() []mutation {
	return slices.Concat(
		crashMutations, overloadMutations, placeMutations, signalMutations, ledgerMutations, pathMutations, eraMutations, partMutations,
		limitMutations, copyMutations, versionMutations, boundMutations, resignMutations, endedMutations, incidentMutations,
		lostMutations, mendMutations, stoppingMutations, streamMutations,
	)
}

// copyTree copies all files of the repository, except those that git ignores.
func copyTree(ctx context.Context, dir string) error {
	out, err := exec.CommandContext(ctx, "git", "ls-files", "-z", "--cached", "--others", "--exclude-standard").Output()
	if err != nil {
		return err
	}
	for name := range strings.SplitSeq(strings.TrimRight(string(out), "\x00"), "\x00") {
		data, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		target := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(target), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(target, data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// knownRedTests returns the pattern of the tests that a list of known failures names. They may fail without any mutation, so
// their failure shows nothing.
func knownRedTests(list string) string {
	patterns := []string{"^$"}
	for line := range strings.Lines(list) {
		name, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		if !strings.HasPrefix(name, "Test") {
			continue
		}
		var parts []string
		for part := range strings.SplitSeq(name, "/") {
			parts = append(parts, "^"+regexp.QuoteMeta(part)+"$")
		}
		patterns = append(patterns, strings.Join(parts, "/"))
	}
	return strings.Join(patterns, "|")
}

// try applies the mutation, runs its tests, except those that knownRed selects, and reverts the mutation. It returns
// whether the tests failed, and the line of their output that names the reason.
func try(ctx context.Context, dir, knownRed string, mut mutation) (bool, string, error) {
	path := filepath.Join(dir, mut.file)
	data, err := os.ReadFile(path)
	if err != nil {
		return false, "", err
	}
	if strings.Count(string(data), mut.old) != 1 {
		return false, "", fmt.Errorf("%s: the guard's code must occur exactly once in %s", mut.name, mut.file)
	}
	changed := strings.Replace(string(data), mut.old, mut.new, 1)
	if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
		return false, "", err
	}
	ctx, cancel := context.WithTimeout(ctx, testLimit)
	defer cancel()
	com := exec.CommandContext(ctx, "go", slices.Concat([]string{"test"}, mut.test, []string{"-skip", knownRed})...)
	com.Dir = dir
	out, testErr := com.CombinedOutput()
	if strings.Contains(string(out), "[build failed]") {
		return false, "", fmt.Errorf("%s: the mutated sources don't build:\n%s", mut.name, out)
	}
	return testErr != nil, reason(string(out)), os.WriteFile(path, data, 0o600)
}

// reason returns the line of a test's output that describes the failure: the violation that
// a model test reports, or else the last line of a test file.
func reason(out string) string {
	last := ""
	for line := range strings.Lines(out) {
		line = strings.TrimSpace(line)
		if _, violation, found := strings.Cut(line, "request "); found && strings.Contains(violation, "dispatched") {
			return "request " + violation
		}
		if strings.Contains(line, "_test.go:") && !strings.Contains(line, "rapid]") {
			last = line
		}
	}
	return last
}
