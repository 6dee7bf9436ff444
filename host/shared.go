package host

import (
	"sync"
	"sync/atomic"

	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/view"
)

// shared is what the loop's owner and the other goroutines both read.
type shared struct {
	config  atomic.Pointer[inForce]
	mutex   sync.Mutex
	history view.History
	// headers are what each peer epoch last said of itself.
	headers map[request.Epoch]peer.Header
	// viewChanged and configChanged are closed and replaced at each change.
	viewChanged chan struct{}
	problem     string
}

// inForce is a configuration with what is looked up in it for each request.
type inForce struct {
	configuration resource.Configuration
	head          resource.Head
	accounts      map[string]resource.ClientAccount
}

func newShared() *shared {
	sha := &shared{
		history:     view.NewHistory(),
		headers:     make(map[request.Epoch]peer.Header),
		viewChanged: make(chan struct{}),
	}
	sha.config.Store(newInForce(resource.Head{}, resource.NewConfiguration(0, nil)))
	return sha
}

func newInForce(hea resource.Head, con resource.Configuration) *inForce {
	inf := &inForce{configuration: con, head: hea, accounts: make(map[string]resource.ClientAccount)}
	for _, acc := range con.ClientAccounts() {
		for _, digest := range acc.KeyDigests {
			inf.accounts[digest] = acc
		}
	}
	return inf
}

// view returns the current view.
func (sha *shared) view() view.View {
	sha.mutex.Lock()
	defer sha.mutex.Unlock()
	return sha.history.Last()
}

// viewsSince returns the remembered views from the number on.
func (sha *shared) viewsSince(number uint64) []view.View {
	sha.mutex.Lock()
	defer sha.mutex.Unlock()
	return sha.history.Since(number)
}

// addView remembers a view; it reports whether it is the newest.
func (sha *shared) addView(vie view.View) bool {
	sha.mutex.Lock()
	defer sha.mutex.Unlock()
	newest := vie.Number > sha.history.Last().Number
	sha.history.Add(vie)
	if newest {
		sha.signal()
	}
	return newest
}

// nextView returns a channel that is closed at the next change of the view.
func (sha *shared) nextView() <-chan struct{} {
	sha.mutex.Lock()
	defer sha.mutex.Unlock()
	return sha.viewChanged
}

// wake has those who wait for the next view look again.
func (sha *shared) wake() {
	sha.mutex.Lock()
	defer sha.mutex.Unlock()
	sha.signal()
}

// signal wakes the waiting; the mutex must be held.
func (sha *shared) signal() {
	close(sha.viewChanged)
	sha.viewChanged = make(chan struct{})
}

// noteHeader remembers what a peer said of itself.
func (sha *shared) noteHeader(hea peer.Header) {
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

func (sha *shared) forgetHeader(epo request.Epoch) {
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
