package processtest

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/upstream"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// flagSettings is the flag before the settings file, beside which the file with the state of the process's
// path to engines lies.
const flagSettings = "--settings"

// pathSuffix is added to the name of the settings file, and pathPollInterval is how often the file is read.
const (
	pathSuffix       = ".path"
	pathPollInterval = 10 * time.Millisecond
)

// SetEnginePath sets the state of the path to engines of a process that was started with the settings file.
func SetEnginePath(t *testing.T, settingsFile string, sta upstreamtest.PathState) {
	t.Helper()
	data, err := json.Marshal(sta)
	assert.NilError(t, err)
	draft := settingsFile + pathSuffix + ".draft"
	assert.NilError(t, os.WriteFile(draft, data, 0o600))
	assert.NilError(t, os.Rename(draft, filepath.Clean(settingsFile+pathSuffix)))
}

// enginePath returns a dialer that follows the file beside the process's settings, or nil if the process has
// no settings file.
func enginePath() upstream.Dialer {
	for idx, arg := range os.Args[:len(os.Args)-1] {
		if arg == flagSettings {
			pat := upstreamtest.NewPath()
			go followPath(pat, os.Args[idx+1]+pathSuffix)
			return pat
		}
	}
	return nil
}

// followPath applies each new state in the file, until the process ends.
func followPath(pat *upstreamtest.Path, file string) {
	var current upstreamtest.PathState
	for range time.Tick(pathPollInterval) {
		var sta upstreamtest.PathState
		data, err := os.ReadFile(file)
		if err != nil || json.Unmarshal(data, &sta) != nil || sta == current {
			// Without a file, the path was never cut.
			continue
		}
		current = sta
		pat.Set(sta)
	}
}
