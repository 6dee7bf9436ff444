package settings_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/format"
	"lynxwell.dev/lynxwell/settings"
)

const validSettings = `{
  // One host.
  "Name": "host-1", "Domain": "a",
  "CallerAddress": "127.0.0.1:7001", "PeerAddress": "127.0.0.1:7002",
  "OperatorAddress": "127.0.0.1:7003", "PlatformAddress": "127.0.0.1:7100",
  "PeerKey": "0123456789abcdef", "OperatorKey": "fedcba9876543210",
}`

func TestDefaultsAreSet(t *testing.T) {
	set, err := settings.Parse("host.json", []byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, set.Timing.Lease.Std(), 10*time.Second)
	assert.Equal(t, set.CallerAddress.Port(), uint16(7001))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"Timing": {"Lease": "1s"}, "Seeds": ["[::1]:1"]}`))
	f.Add([]byte(`{"Name": 1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.Parse("f", data)
		var fer *format.FieldError
		if err != nil && !errors.As(err, &fer) {
			t.Fatalf("want a *format.FieldError, got %v", err)
		}
		if fer != nil && fer.Field == "" {
			t.Fatalf("error names no field: %v", err)
		}
	})
}
