package entry

import (
	"sync"
	"time"
)

// departureWindow is how long after the deletion of an engine's entry the end of its connections counts
// as a possible crash. An engine that stops as planned serves on for two seconds or more after that.
const departureWindow = time.Second

// departures are the times at which the entries of engines were deleted, by the engines' names. A crashed
// engine's entry may be deleted before this host handles the end of its connections.
type departures struct {
	mutex sync.Mutex
	at    map[string]time.Time
}

func newDepartures() *departures {
	return &departures{at: make(map[string]time.Time)}
}

// record records that an engine's entry was deleted, and drops the records that no longer count.
func (dep *departures) record(now time.Time, name string) {
	dep.mutex.Lock()
	defer dep.mutex.Unlock()
	for other, at := range dep.at {
		if now.Sub(at) >= departureWindow {
			delete(dep.at, other)
		}
	}
	dep.at[name] = now
}

// isRecent reports whether an engine's entry was deleted within departureWindow.
func (dep *departures) isRecent(now time.Time, name string) bool {
	dep.mutex.Lock()
	defer dep.mutex.Unlock()
	at, known := dep.at[name]
	return known && now.Sub(at) < departureWindow
}
