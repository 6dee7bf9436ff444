package processtest

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// peersSuffix is added to the name of the settings file. The file holds the states of the process's paths to other hosts.
const peersSuffix = ".peers"

// PeerStates are the states of a process's paths to other hosts, by address. Paths that it doesn't name are open.
type PeerStates map[string]upstreamtest.PathState

// SetPeerPaths sets the states of the paths to other hosts of a process that was started with the settings file.
func SetPeerPaths(t *testing.T, settingsFile string, states PeerStates) {
	t.Helper()
	data, err := json.Marshal(states)
	assert.NilError(t, err)
	draft := settingsFile + peersSuffix + ".draft"
	assert.NilError(t, os.WriteFile(draft, data, 0o600))
	assert.NilError(t, os.Rename(draft, filepath.Clean(settingsFile+peersSuffix)))
}

// peerDialer has a path to each address. It is safe for concurrent use.
type peerDialer struct {
	mutex  sync.Mutex
	states PeerStates
	paths  map[string]*upstreamtest.Path
}

// peerPaths returns a dialer that follows the file beside the process's settings, or nil if the process has no settings
// file.
func peerPaths() peer.Dialer {
	for idx, arg := range os.Args[:len(os.Args)-1] {
		if arg == flagSettings {
			dia := &peerDialer{paths: make(map[string]*upstreamtest.Path)}
			file := os.Args[idx+1] + peersSuffix
			dia.read(file)
			go dia.follow(file)
			return dia
		}
	}
	return nil
}

// DialContext implements peer.Dialer.
func (dia *peerDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return dia.path(address).DialContext(ctx, network, address)
}

func (dia *peerDialer) path(address string) *upstreamtest.Path {
	dia.mutex.Lock()
	defer dia.mutex.Unlock()
	pat := dia.paths[address]
	if pat == nil {
		pat = upstreamtest.NewPath()
		pat.Set(dia.states[address])
		dia.paths[address] = pat
	}
	return pat
}

// follow applies each new state in the file, until the process ends.
func (dia *peerDialer) follow(file string) {
	for range time.Tick(pathPollInterval) {
		dia.read(file)
	}
}

func (dia *peerDialer) read(file string) {
	var states PeerStates
	data, err := os.ReadFile(file)
	if err != nil || json.Unmarshal(data, &states) != nil {
		// Without a file, no path was ever cut.
		return
	}
	dia.mutex.Lock()
	defer dia.mutex.Unlock()
	for address, pat := range dia.paths {
		if states[address] != dia.states[address] {
			pat.Set(states[address])
		}
	}
	dia.states = states
}
