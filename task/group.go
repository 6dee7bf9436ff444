// Package task runs the goroutines of a component and logs those that fail.
//
// # Usage
//
//	grp := task.NewGroup(log)
//	grp.Run("store watcher", func() error { return watch(ctx) })
//	grp.Wait()
package task

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// Group is a set of named goroutines. Run and Wait must be called from the same goroutine.
type Group struct {
	log     zerolog.Logger
	started int
	results chan result
	mutex   sync.Mutex
	running []string
}

// result is the outcome of one goroutine.
type result struct {
	name string
	err  error
}

// NewGroup returns an empty group that logs to log.
func NewGroup(log zerolog.Logger) *Group {
	return &Group{log: log, results: make(chan result)}
}

// Run starts a goroutine that calls work. It must not be called after Wait.
func (grp *Group) Run(name string, work func() error) {
	grp.started++
	grp.mutex.Lock()
	grp.running = append(grp.running, name)
	grp.mutex.Unlock()
	go func() { grp.results <- result{name: name, err: work()} }()
}

// Names returns the names of the goroutines that are still running.
func (grp *Group) Names() []string {
	grp.mutex.Lock()
	defer grp.mutex.Unlock()
	return slices.Clone(grp.running)
}

// Wait waits until all goroutines have ended and logs each error other than
// context.Canceled.
func (grp *Group) Wait() {
	for range grp.started {
		res := <-grp.results
		grp.mutex.Lock()
		grp.running = slices.DeleteFunc(grp.running, func(name string) bool { return name == res.name })
		grp.mutex.Unlock()
		if res.err != nil && !errors.Is(res.err, context.Canceled) {
			grp.log.Error().Err(res.err).Str("Task", res.name).Msg("task failed")
		}
	}
}
