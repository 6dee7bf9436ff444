package host

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// tasks runs a part's goroutines; each reports its end on a channel.
type tasks struct {
	log     zerolog.Logger
	started int
	ends    chan taskEnd
	mutex   sync.Mutex
	running []string
}

// taskEnd is the end of one goroutine.
type taskEnd struct {
	name string
	err  error
}

func newTasks(log zerolog.Logger) *tasks {
	return &tasks{log: log, ends: make(chan taskEnd)}
}

// run starts a goroutine. All must be started before wait is called.
func (tks *tasks) run(name string, work func() error) {
	tks.started++
	tks.mutex.Lock()
	tks.running = append(tks.running, name)
	tks.mutex.Unlock()
	go func() { tks.ends <- taskEnd{name: name, err: work()} }()
}

// names returns the goroutines that haven't ended.
func (tks *tasks) names() []string {
	tks.mutex.Lock()
	defer tks.mutex.Unlock()
	return slices.Clone(tks.running)
}

// wait returns when every goroutine has ended.
func (tks *tasks) wait() {
	for range tks.started {
		end := <-tks.ends
		tks.mutex.Lock()
		tks.running = slices.DeleteFunc(tks.running, func(name string) bool { return name == end.name })
		tks.mutex.Unlock()
		if end.err != nil && !errors.Is(end.err, context.Canceled) {
			tks.log.Error().Err(end.err).Str("Task", end.name).Msg("task ended")
		}
	}
}
