package format

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is encoded as a string such as "1m30s".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (dur Duration) Std() time.Duration {
	return time.Duration(dur)
}

// MarshalText implements encoding.TextMarshaler; it uses the notation of time.Duration.
func (dur Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(dur).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler; it accepts the notation of time.ParseDuration.
func (dur *Duration) UnmarshalText(text []byte) error {
	val, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrapf(err, "duration %q", text)
	}
	*dur = Duration(val)
	return nil
}
