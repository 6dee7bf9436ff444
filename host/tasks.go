package host

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// tasks runs a part's goroutines; each reports its end on a channel.
type tasks struct {
	log     zerolog.Logger
	started int
	ends    chan taskEnd
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
	go func() { tks.ends <- taskEnd{name: name, err: work()} }()
}

// wait returns when every goroutine has ended.
func (tks *tasks) wait() {
	for range tks.started {
		end := <-tks.ends
		if end.err != nil && !errors.Is(end.err, context.Canceled) {
			tks.log.Error().Err(end.err).Str("Task", end.name).Msg("task ended")
		}
	}
}
