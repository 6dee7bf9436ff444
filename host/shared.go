package host

import (
	"sync"
	"sync/atomic"

	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/view"
)

// shared holds the state that the loop and the other goroutines both access.
type shared struct {
	config  atomic.Pointer[activeConfig]
	mutex   sync.Mutex
	history view.History
	// headers holds the most recent header that each peer reported, by the peer's epoch.
	headers map[request.Epoch]peer.Header
	// changed is closed and replaced at each change of the current view or the configuration.
	changed chan struct{}
	// problem is why the host rejected the most recent configuration; empty if the host accepted it.
	problem string
}

// activeConfig is the active configuration, with its client accounts by key digest.
type activeConfig struct {
	configuration resource.Configuration
	head          resource.Head
	accounts      map[string]resource.ClientAccount
}

func newShared() *shared {
	sha := &shared{
		history: view.NewHistory(),
		headers: make(map[request.Epoch]peer.Header),
		changed: make(chan struct{}),
	}
	sha.config.Store(newActiveConfig(resource.Head{}, resource.NewConfiguration(0, nil)))
	return sha
}

func newActiveConfig(hea resource.Head, con resource.Configuration) *activeConfig {
	acf := &activeConfig{configuration: con, head: hea, accounts: make(map[string]resource.ClientAccount)}
	for _, acc := range con.ClientAccounts() {
		for _, digest := range acc.KeyDigests {
			acf.accounts[digest] = acc
		}
	}
	return acf
}

// view returns the current view, which is the newest one in the history.
func (sha *shared) view() view.View {
	sha.mutex.Lock()
	defer sha.mutex.Unlock()
	return sha.history.Newest()
}

// viewsSince returns the views in the history from the given number on.
func (sha *shared) viewsSince(number uint64) []view.View {
	sha.mutex.Lock()
	defer sha.mutex.Unlock()
	return sha.history.Since(number)
}

// addView adds a view to the history and reports whether the view has become the current one.
func (sha *shared) addView(vie view.View) bool {
	sha.mutex.Lock()
	defer sha.mutex.Unlock()
	newest := vie.Number > sha.history.Newest().Number
	sha.history.Add(vie)
	if newest {
		sha.notifyLocked()
	}
	return newest
}

// nextChange returns a channel that is closed at the next change of the view or
// configuration.
func (sha *shared) nextChange() <-chan struct{} {
	sha.mutex.Lock()
	defer sha.mutex.Unlock()
	return sha.changed
}

// notify wakes the goroutines that wait on nextChange.
func (sha *shared) notify() {
	sha.mutex.Lock()
	defer sha.mutex.Unlock()
	sha.notifyLocked()
}

// notifyLocked is notify for callers that hold the mutex.
func (sha *shared) notifyLocked() {
	close(sha.changed)
	sha.changed = make(chan struct{})
}

// recordHeader records the header that a peer reported.
func (sha *shared) recordHeader(hea peer.Header) {
	sha.mutex.Lock()
	defer sha.mutex.Unlock()
	sha.headers[hea.Epoch] = hea
}

func (sha *shared) header(epo request.Epoch) (peer.Header, bool) {
	sha.mutex.Lock()
	defer sha.mutex.Unlock()
	hea, known := sha.headers[epo]
	return hea, known
}

func (sha *shared) deleteHeader(epo request.Epoch) {
	sha.mutex.Lock()
	defer sha.mutex.Unlock()
	delete(sha.headers, epo)
}

func (sha *shared) setProblem(problem string) {
	sha.mutex.Lock()
	defer sha.mutex.Unlock()
	sha.problem = problem
}

func (sha *shared) currentProblem() string {
	sha.mutex.Lock()
	defer sha.mutex.Unlock()
	return sha.problem
}
