package entry

import (
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/store"
)

// maxRefused bounds the keys whose refusal is remembered; what is refused beyond them is
// counted and not logged, so that a writer of many bad values can't fill the log.
const maxRefused = 256

// refusals are the keys of the store whose values can't be used. Each is logged when it
// goes bad, and not again until it was good in between.
type refusals struct {
	log     zerolog.Logger
	counter metrics.Counter
	// reasons are by key.
	reasons map[string]string
}

func newRefusals(log zerolog.Logger, counter metrics.Counter) *refusals {
	return &refusals{log: log, counter: counter, reasons: make(map[string]string)}
}

// usable reports whether a value could be read, and notes either: consequence says what
// the host does where it couldn't.
func (ref *refusals) usable(val store.Value, err error, consequence string) bool {
	if err != nil {
		ref.refuse(val, err, consequence)
		return false
	}
	ref.accept(val.Key)
	return true
}

// refuse notes a value that can't be used; consequence says what the host does instead.
func (ref *refusals) refuse(val store.Value, err error, consequence string) {
	ref.counter.Inc(1)
	reason := err.Error()
	if former, known := ref.reasons[val.Key]; known && former == reason {
		return
	}
	if _, known := ref.reasons[val.Key]; !known && len(ref.reasons) >= maxRefused {
		return
	}
	ref.reasons[val.Key] = reason
	ref.log.Error().Err(err).Str("Key", val.Key).Uint64("Revision", uint64(val.Revision)).Msg(consequence)
}

// accept notes that a key holds a value that can be used, or nothing any more.
func (ref *refusals) accept(key string) {
	delete(ref.reasons, key)
}
