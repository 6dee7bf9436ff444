package task

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// Served returns err, the result of http.Server.Serve, or nil if the server was closed or shut
// down.
func Served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
