// Package task runs the goroutines of one part, each of which reports its end on
// a channel that the part's owner reads.
//
// # Usage
//
//	grp := task.NewGroup(log)
//	grp.Run("observer", func() error { return observe(ctx) })
//	grp.Wait()
package task

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// Group is a part's goroutines.
type Group struct {
	log     zerolog.Logger
	started int
	ends    chan end
	mutex   sync.Mutex
	running []string
}

// end is the end of one goroutine.
type end struct {
	name string
	err  error
}

// NewGroup returns a group without goroutines.
func NewGroup(log zerolog.Logger) *Group {
	return &Group{log: log, ends: make(chan end)}
}

// Run starts a goroutine. All must be started before Wait is called.
func (grp *Group) Run(name string, work func() error) {
	grp.started++
	grp.mutex.Lock()
	grp.running = append(grp.running, name)
	grp.mutex.Unlock()
	go func() { grp.ends <- end{name: name, err: work()} }()
}

// Names returns the goroutines that haven't ended.
func (grp *Group) Names() []string {
	grp.mutex.Lock()
	defer grp.mutex.Unlock()
	return slices.Clone(grp.running)
}

// Wait returns when every goroutine has ended; it logs those that failed.
func (grp *Group) Wait() {
	for range grp.started {
		one := <-grp.ends
		grp.mutex.Lock()
		grp.running = slices.DeleteFunc(grp.running, func(name string) bool { return name == one.name })
		grp.mutex.Unlock()
		if one.err != nil && !errors.Is(one.err, context.Canceled) {
			grp.log.Error().Err(one.err).Str("Task", one.name).Msg("task ended")
		}
	}
}
