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
	undetected := 0
	fmt.Println("| guard removed | detected by | test output |\n|---|---|---|")
	for _, mut := range slices.Concat(mutations, limitMutations, copyMutations, versionMutations, boundMutations, resignMutations, endedMutations, incidentMutations) {
		if !strings.Contains(mut.name, only) {
			continue
		}
		detected, line, err := try(ctx, dir, mut)
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

// try applies the mutation, runs its tests and reverts the mutation. It returns
// whether the tests failed, and the line of their output that names the reason.
func try(ctx context.Context, dir string, mut mutation) (bool, string, error) {
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
	com := exec.CommandContext(ctx, "go", append([]string{"test"}, mut.test...)...)
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
