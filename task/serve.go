package task

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// Served returns the error of an HTTP server that ended otherwise than by its
// closing.
func Served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
