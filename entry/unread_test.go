package entry

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/store"
)

// Unrecognized keys and configuration fields are logged once by name and counted. The number of
// logged names is bounded.
func TestUnrecognizedKeysAndFieldsAreLogged(t *testing.T) {
	wat, log := newTestWatcher(t)
	config := `{"version":%d,"colour":1,"services":[{"name":"s","tls":false}]}`
	for rev := range 3 {
		wat.apply(changeUpdate(store.Revision(20+2*rev), "op/resize/s1", []byte("{}")))
		wat.apply(changeUpdate(store.Revision(21+2*rev), "op/config", fmt.Appendf(nil, config, rev+1)))
	}
	assert.Equal(t, strings.Count(log.String(), "unrecognized key in the store"), 1)
	assert.Equal(t, strings.Count(log.String(), "unrecognized field in the configuration"), 1)
	for num := range 1000 {
		wat.apply(changeUpdate(store.Revision(100+num), fmt.Sprint("made-up-", num), nil))
	}
	text := string(wat.host.metrics.text(nil))
	for _, want := range []string{"StoreKeysUnread.op/resize/ 3\n", "ConfigurationFieldsUnread.colour 3\n", "StoreKeysUnread.Others "} {
		assert.Assert(t, strings.Contains(text, want), text)
	}
	assert.Assert(t, strings.Count(log.String(), `"message":"unrecognized `) <= maxUnrecognizedLines+1)
}
