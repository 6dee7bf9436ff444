package caller

import (
	"time"

	"lynxwell.dev/lynxwell/request"
)

// logFields are the fields of a request's log entry.
type logFields struct {
	start   time.Time
	id      request.ID
	account string
	tier    string
	service string
}

func (srv *Server) logEnd(sub *submission, status int, code string, outcome request.Outcome) {
	fie := sub.log
	srv.cfg.Log.Info().
		Stringer("RequestID", fie.id).
		Str("Account", fie.account).
		Str("Tier", fie.tier).
		Str("Service", fie.service).
		Int("Status", status).
		Str("Code", code).
		Str("Outcome", string(outcome)).
		Dur("Took", time.Since(fie.start)).
		Msg("request ended")
}
