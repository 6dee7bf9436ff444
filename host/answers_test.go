package host

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/caller"
	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/request"
)

// addFinishedJob adds a job with a finished answer of size bytes to the loop. It returns the
// request's id and the job.
func addFinishedJob(lop *loop, unique string, size int) (request.ID, *job) {
	id := request.ID{Unique: unique}
	jb := &job{exchange: caller.NewExchange()}
	jb.exchange.Head(http.StatusOK, nil)
	jb.exchange.Data(make([]byte, size))
	jb.exchange.End(true)
	lop.jobs[id] = jb
	return id, jb
}

// Forgotten answers must not count against the memory for retained answers; otherwise
// answers would be dropped although there is room for them.
func TestForgottenAnswersDoNotCountAsRetained(t *testing.T) {
	hos, _ := newTestHost(t)
	for num := range 40 {
		id, jb := addFinishedJob(hos.loop, fmt.Sprint(num), 1<<20)
		hos.loop.retainAnswer(id, jb)
		hos.loop.gatewayAction(time.Now(), gateway.Forget{ID: id})
	}
	id, jb := addFinishedJob(hos.loop, "last", 1000)
	hos.loop.retainAnswer(id, jb)
	assert.Equal(t, jb.exchange.Size(), 1000)
	assert.Equal(t, hos.loop.retainedBytes, 1000)
	assert.Equal(t, len(hos.loop.retainedOrder), 1)
}

func TestOldestAnswersAreDroppedFirst(t *testing.T) {
	hos, _ := newTestHost(t)
	var jobs []*job
	for num := range 20 {
		id, jb := addFinishedJob(hos.loop, fmt.Sprint(num), 1<<20)
		hos.loop.retainAnswer(id, jb)
		jobs = append(jobs, jb)
	}
	assert.Equal(t, jobs[0].exchange.Size(), 0)
	assert.Equal(t, jobs[19].exchange.Size(), 1<<20)
	assert.Assert(t, hos.loop.retainedBytes <= maxRetainedBytes)
}
