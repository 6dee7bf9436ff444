package visitor

import (
	"context"
	"io"
	"strings"
	"time"
)

// newUpload returns the body of a request, which pauses between its halves if the request says so.
func newUpload(ctx context.Context, req Request) io.Reader {
	if req.BodyPause <= 0 {
		return strings.NewReader(req.Body)
	}
	half := len(req.Body) / 2
	return io.MultiReader(strings.NewReader(req.Body[:half]), &pause{context: ctx, length: req.BodyPause}, strings.NewReader(req.Body[half:]))
}

// pause is an empty reader that ends after a time, or with an error when its context ends.
type pause struct {
	context context.Context
	length  time.Duration
}

// Read implements io.Reader.
func (pau *pause) Read([]byte) (int, error) {
	timer := time.NewTimer(pau.length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return 0, io.EOF
	case <-pau.context.Done():
		return 0, context.Cause(pau.context)
	}
}
