package entry_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/store"
)

// requestWithin returns a request for a stream, whose client gives it up after a deadline.
func requestWithin(id, resumes string, after int, deadline time.Duration) entrytest.Request {
	req := streamRequest(id, resumes, after)
	req.Header["Deadline-Ms"] = strconv.FormatInt(deadline.Milliseconds(), 10)
	return req
}

// holdsWithin waits for longer than WaitUntil does.
func (vsy *versionedSystem) holdsWithin(limit time.Duration, holds func() bool) bool {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(limit); time.Now().Before(end); <-tick.C {
		if holds() {
			return true
		}
	}
	return false
}

// beginWithin begins streams at the hosts, which lose their connections after some events. It returns how many began.
func (vsy *versionedSystem) beginWithin(hosts []*entrytest.Host, deadline time.Duration) (begun int) {
	ok := make([]bool, resumedStreams)
	concurrently(resumedStreams, func(num int) {
		ok[num] = vsy.SendUntilEvent(vsy.t.Context(), hosts[num%len(hosts)], requestWithin(fmt.Sprint("begin-", num), "", 0, deadline), cutAfterEvent).Status == http.StatusOK
	})
	for _, each := range ok {
		if each {
			begun++
		}
	}
	return begun
}

// resumeWithin resumes the streams of beginWithin at the hosts. It returns how many went on, and how many of them hold
// events of several versions.
func (vsy *versionedSystem) resumeWithin(hosts []*entrytest.Host, deadline time.Duration) (resumed, mixed int) {
	ok := make([]bool, resumedStreams)
	concurrently(resumedStreams, func(num int) {
		ans := vsy.Send(vsy.t.Context(), hosts[num%len(hosts)], requestWithin(fmt.Sprint("again-", num), fmt.Sprint("begin-", num), cutAfterEvent, deadline))
		ok[num] = ans.Err == nil && ans.Status == http.StatusOK
	})
	for num, each := range ok {
		if each {
			resumed++
			if len(vsy.versionsOf(fmt.Sprint("begin-", num), fmt.Sprint("again-", num))) > 1 {
				mixed++
			}
		}
	}
	return resumed, mixed
}

// Guards against a stream that goes on at another version because nobody knows its life any more: it began just before all
// hosts were lost, or the record that named the life was damaged meanwhile.
func TestStreamOutlivesLifeInRecord(t *testing.T) {
	for _, damaged := range []bool{false, true} {
		t.Run(fmt.Sprint("record damaged ", damaged), func(t *testing.T) {
			t.Parallel()
			vsy := startWithOneVersion(t, 3)
			if damaged {
				vsy.beginWithin(vsy.Hosts, time.Minute)
				vsy.WaitUntil("life recorded", func() bool { return vsy.record().Life == 2*time.Minute })
			}
			begun := vsy.beginWithin(vsy.Hosts, time.Minute)
			began := time.Now()
			hosts := vsy.kill(func() {
				t.Logf("record when all are lost: %+v", vsy.record())
				vsy.removeVersion("v1")
				vsy.join()
				if damaged {
					assert.NilError(t, vsy.Store.Write(store.Write{Key: versionsKey, Data: []byte(`{"Number":"many"}`), Blind: true}))
				}
			})
			alone := vsy.holdsWithin(58*time.Second, func() bool {
				rec := vsy.record()
				return len(rec.Versions[entrytest.Model]) == 1 && rec.Has(entrytest.Model, "v1.1") && rec.Era == 0 && time.Since(began) > 35*time.Second
			})
			age := time.Since(began)
			left := max(time.Second, time.Minute-age)
			t.Logf("v1.1 alone in a complete record: %v, %+v; streams %s old, clients wait %s more", alone, vsy.record(), age, left)
			resumed, mixed := vsy.resumeWithin(hosts, left)
			t.Logf("begun %d, resumed %d, mixed %d", begun, resumed, mixed)
			assert.Equal(t, mixed, 0)
		})
	}
}

// The record is damaged while all hosts are lost; a client whose deadline is longer than twice the route's timeout resumes its
// stream with a third of the deadline left. The record isn't complete in any era yet.
func TestRestOfDeadlineIsNoAgeOfStream(t *testing.T) {
	t.Parallel()
	const deadline = 30 * time.Second
	vsy := startWithOneVersion(t, 3)
	begun := vsy.beginWithin(vsy.Hosts, deadline)
	began := time.Now()
	vsy.WaitUntil("life recorded", func() bool { return vsy.record().Life == 2*deadline })
	hosts := vsy.kill(func() {
		vsy.removeVersion("v1")
		vsy.join()
		assert.NilError(t, vsy.Store.Write(store.Write{Key: versionsKey, Data: []byte(`{"Number":"many"}`), Blind: true}))
	})
	vsy.holdsWithin(deadline, func() bool { return time.Since(began) > 22*time.Second })
	t.Logf("record %+v, streams %s old", vsy.record(), time.Since(began))
	resumed, mixed := vsy.resumeWithin(hosts, deadline-time.Since(began))
	t.Logf("begun %d, resumed %d, mixed %d", begun, resumed, mixed)
	assert.Equal(t, mixed, 0)
}
