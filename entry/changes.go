package entry

import (
	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/store"
)

// maxLoggedNames bounds the names in the log line of an update: after a loss of all hosts, each of
// hundreds of hosts reads hundreds of entries, and naming all of them would fill the log.
const maxLoggedNames = 12

// memberChanges collects the hosts that one update registered or deregistered, for one log line.
type memberChanges struct {
	registered   []string
	deregistered []string
}

// log writes the log line, unless no host was registered or deregistered.
func (mch *memberChanges) log(log zerolog.Logger, rev store.Revision) {
	if len(mch.registered)+len(mch.deregistered) == 0 {
		return
	}
	log.Info().Int("Entered", len(mch.registered)).Strs("EnteredNames", truncateNames(mch.registered)).
		Int("Gone", len(mch.deregistered)).Strs("GoneNames", truncateNames(mch.deregistered)).Uint64("Revision", rev.Number()).Msg("hosts changed")
}

func truncateNames(names []string) []string {
	return names[:min(maxLoggedNames, len(names))]
}
