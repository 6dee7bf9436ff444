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
func (chl *changeList) log(log zerolog.Logger, rev store.Revision) {
	if len(chl.entered)+len(chl.gone) == 0 {
		return
	}
	log.Info().Int("Entered", len(chl.entered)).Strs("EnteredNames", named(chl.entered)).
		Int("Gone", len(chl.gone)).Strs("GoneNames", named(chl.gone)).Uint64("Revision", uint64(rev)).Msg("hosts changed")
}

func named(names []string) []string {
	return names[:min(maxNamed, len(names))]
}
