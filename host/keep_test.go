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

func endedJob(lop *loop, unique string, size int) (request.ID, *job) {
	id := request.ID{Unique: unique}
	jb := &job{exchange: caller.NewExchange()}
	jb.exchange.Head(http.StatusOK, nil)
	jb.exchange.Data(make([]byte, size))
	jb.exchange.End(true)
	lop.jobs[id] = jb
	return id, jb
}

// Answers that were forgotten must not count against those that are kept.
func TestForgottenAnswersLeaveRoomForOthers(t *testing.T) {
	hos, _ := newTestHost(t)
	for num := range 40 {
		id, jb := endedJob(hos.loop, fmt.Sprint(num), 1<<20)
		hos.loop.keepAnswer(id, jb)
		hos.loop.gatewayAction(time.Now(), gateway.Forget{ID: id})
	}
	id, jb := endedJob(hos.loop, "last", 1000)
	hos.loop.keepAnswer(id, jb)
	assert.Equal(t, jb.exchange.Size(), 1000)
	assert.Equal(t, hos.loop.keptBytes, 1000)
	assert.Equal(t, len(hos.loop.keptOrder), 1)
}

func TestOldestAnswersAreDroppedFirst(t *testing.T) {
	hos, _ := newTestHost(t)
	var jobs []*job
	for num := range 20 {
		id, jb := endedJob(hos.loop, fmt.Sprint(num), 1<<20)
		hos.loop.keepAnswer(id, jb)
		jobs = append(jobs, jb)
	}
	assert.Equal(t, jobs[0].exchange.Size(), 0)
	assert.Equal(t, jobs[19].exchange.Size(), 1<<20)
	assert.Assert(t, hos.loop.keptBytes <= maxKeptAnswers)
}
