package entry

import (
	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/store"
)

// maxNamed bounds the names in the log line of an update: after a loss of all hosts each of
// hundreds of hosts reads hundreds of entries, and with a line for each these would fill the log.
const maxNamed = 12

// memberChanges collects the hosts that one update registered or deregistered, for one log line.
type changeList struct {
	entered []string
	gone    []string
}

// log writes the line, if any host changed.
func (mch *changeList) log(log zerolog.Logger, rev store.Revision) {
	if len(mch.entered)+len(mch.gone) == 0 {
		return
	}
	log.Info().Int("Entered", len(mch.entered)).Strs("EnteredNames", named(mch.entered)).
		Int("Gone", len(mch.gone)).Strs("GoneNames", named(mch.gone)).Uint64("Revision", uint64(rev)).Msg("hosts changed")
}

func named(names []string) []string {
	return names[:min(maxNamed, len(names))]
}
