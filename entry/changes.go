package entry

import (
	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/store"
)

// maxNamed bounds the names in the line of an update: after a loss of all hosts each
// host of hundreds reads hundreds of entries, and a line each would be the whole log.
const maxNamed = 12

// changeList is what one update changed of the hosts, for one line of the log.
type changeList struct {
	entered []string
	gone    []string
}

// log writes the line, if there is anything to tell.
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
