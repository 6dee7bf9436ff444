// Package transport holds what the clients of engines and of backend servers
// have in common: calls that are sent once and given up on silence.
//
// # Usage
//
//	ctx, wat := transport.Watch(ctx, 30*time.Second)
//	defer wat.Stop()
//	rep, err := client.Do(req.WithContext(ctx))
//	if err != nil {
//		return transport.NotSent(err), transport.Cause(ctx, err)
//	}
//	wat.Heard() // at each sign of life
package transport

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// dialTimeout bounds a connection; nothing was sent before it stands.
const dialTimeout = 2 * time.Second

// New returns a transport that keeps up to idle connections to each address;
// with 0 it makes a new one for each call.
func New(idle int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idle, IdleConnTimeout: time.Minute,
		DisableCompression: true, DisableKeepAlives: idle == 0,
	}
}

// SilenceError reports another end that sent nothing for too long.
type SilenceError struct {
	// After is how long it was silent.
	After time.Duration
}

// Error names the time of silence.
func (ser *SilenceError) Error() string {
	return fmt.Sprintf("silent for %s", ser.After)
}

// Watcher ends a call's context when nothing is heard for too long.
type Watcher struct {
	limit  time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// Watch returns a context that ends with a *SilenceError when Heard isn't
// called for so long.
func Watch(ctx context.Context, limit time.Duration) (context.Context, *Watcher) {
	ctx, cancel := context.WithCancelCause(ctx)
	wat := &Watcher{limit: limit, cancel: cancel}
	wat.timer = time.AfterFunc(limit, func() { cancel(&SilenceError{After: limit}) })
	return ctx, wat
}

// Heard starts the time anew.
func (wat *Watcher) Heard() {
	wat.timer.Reset(wat.limit)
}

// Shorten leaves only so long until the context ends.
func (wat *Watcher) Shorten(limit time.Duration) {
	wat.timer.Reset(limit)
}

// Stop ends the watch and the context.
func (wat *Watcher) Stop() {
	wat.timer.Stop()
	wat.cancel(nil)
}

// Cause returns why the context ended, or the error where it hasn't.
func Cause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// NotSent reports whether no connection came to stand, so that certainly
// nothing was sent.
func NotSent(err error) bool {
	var oer *net.OpError
	return errors.As(err, &oer) && oer.Op == "dial"
}
