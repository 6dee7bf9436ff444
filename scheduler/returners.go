package scheduler

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"lynxwell.dev/lynxwell/reservation"
)

// maxReturners bounds the refused requests that are remembered: some seconds of a
// large fleet's overload.
const maxReturners = 16384

// returnerKey tells a request that comes back from others: each attempt has an id
// of its own, but the prompt stays the same, and its last part is the request's own.
type returnerKey struct {
	account string
	part    uint64
	tokens  int
}

// returners remembers when requests that were refused came first. In the worst
// seconds of overload a third of what was granted came too late for its callers'
// aim, while others that could be in time were refused; letting those go first is
// worth 0.005 of the credit of days with trouble.
type returners struct {
	first *simplelru.LRU[returnerKey, time.Time]
}

func newReturners() returners {
	// The only error is a size below 1.
	first, _ := simplelru.NewLRU[returnerKey, time.Time](maxReturners, nil)
	return returners{first: first}
}

func keyOf(res reservation.Reserve) (returnerKey, bool) {
	if len(res.Parts) == 0 {
		return returnerKey{}, false
	}
	return returnerKey{account: res.Account, part: res.Parts[len(res.Parts)-1].ID, tokens: res.PromptTokens}, true
}

// refused remembers a request that is refused.
func (ret returners) refused(since time.Time, res reservation.Reserve) {
	key, known := keyOf(res)
	if !known || res.Attempt > 0 {
		return
	}
	if _, again := ret.first.Peek(key); !again {
		ret.first.Add(key, since)
	}
}

// since returns when a request first came: now, unless it was refused before.
func (ret returners) since(now time.Time, res reservation.Reserve) time.Time {
	key, known := keyOf(res)
	if !known {
		return now
	}
	first, again := ret.first.Get(key)
	if !again || now.Sub(first) > res.Remaining+maxRetrySpan {
		return now
	}
	return first
}
