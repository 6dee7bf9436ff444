package task

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// IgnoreServerClosed returns err, the result of http.Server.Serve, or nil if the server was closed
// or shut down.
func IgnoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
