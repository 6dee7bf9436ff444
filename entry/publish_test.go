package entry

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/store"
)

// watchedGauge calls onUpdate before each update.
type watchedGauge struct {
	metrics.Gauge
	onUpdate func()
}

func (wga watchedGauge) Update(value int64) {
	wga.onUpdate()
	wga.Gauge.Update(value)
}

// Guards against an older snapshot that counts as confirmed while its successor is being published: a host that
// stands still in between would use revoked keys for longer than it may.
func TestSnapshotIsPublishedBeforeItIsConfirmed(t *testing.T) {
	hos, err := New(Config{Settings: settings.Entry{Name: "host-1", PeerKey: "key between the hosts"}, Log: zerolog.Nop()})
	assert.NilError(t, err)
	confirmed := hos.clock.Now().Add(time.Second)
	published := 0
	hos.metrics.members = watchedGauge{Gauge: metrics.NewGauge(), onUpdate: func() {
		published++
		assert.Equal(t, hos.confirmed.Load(), neverConfirmed)
	}}
	newStoreWatcher(hos).apply(update{complete: true, changes: store.Changes{Revision: 7}, confirmed: confirmed})
	assert.Equal(t, published, 1)
	assert.Equal(t, hos.confirmed.Load(), int64(confirmed.Sub(hos.started)))
}
