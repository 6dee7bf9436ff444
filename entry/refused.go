package entry

import (
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/store"
)

// maxInvalidKeys bounds the keys whose invalid values are recorded. Further ones are counted but not
// logged, so that a writer of many invalid values can't fill the log.
const maxInvalidKeys = 256

// invalidValues records the keys of the store whose values are invalid. Each is logged when its
// value becomes invalid, and not again for the same reason until the key was valid in between.
type invalidValues struct {
	log     zerolog.Logger
	counter metrics.Counter
	// reasons maps a key to why its value is invalid.
	reasons map[string]string
}

func newInvalidValues(log zerolog.Logger, counter metrics.Counter) *invalidValues {
	return &invalidValues{log: log, counter: counter, reasons: make(map[string]string)}
}

// checkValue reports whether a value could be decoded, and records the result. The consequence is
// the log message for an invalid value, which states what is invalid and what the host does.
func (inv *invalidValues) checkValue(val store.Value, err error, consequence string) bool {
	if err != nil {
		inv.recordInvalid(val, err, consequence)
		return false
	}
	inv.recordValid(val.Key)
	return true
}

// recordInvalid counts an invalid value, and logs it unless it is already logged for the same
// reason.
func (inv *invalidValues) recordInvalid(val store.Value, err error, consequence string) {
	inv.counter.Inc(1)
	reason := err.Error()
	if prev, known := inv.reasons[val.Key]; known && prev == reason {
		return
	}
	if _, known := inv.reasons[val.Key]; !known && len(inv.reasons) >= maxInvalidKeys {
		return
	}
	inv.reasons[val.Key] = reason
	inv.log.Error().Err(err).Str("Key", val.Key).Uint64("Revision", val.Revision.Number()).Msg(consequence)
}

// recordValid records that a key holds a valid value, or was deleted.
func (inv *invalidValues) recordValid(key string) {
	delete(inv.reasons, key)
}
