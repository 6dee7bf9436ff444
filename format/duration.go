package format

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration written in files as a string such as "1m30s".
type Duration time.Duration

// Std returns the duration as the standard library's type.
func (dur Duration) Std() time.Duration {
	return time.Duration(dur)
}

// MarshalText writes the duration in Go's notation.
func (dur Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(dur).String()), nil
}

// UnmarshalText reads a duration in Go's notation.
func (dur *Duration) UnmarshalText(text []byte) error {
	val, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrapf(err, "duration %q", text)
	}
	*dur = Duration(val)
	return nil
}
