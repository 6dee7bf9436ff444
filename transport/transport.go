// Package transport contains what the HTTP clients and servers of a host share:
// connection settings, detection of dead TCP connections, and timeouts for peers that
// send nothing.
//
// # Usage
//
//	ctx, wat := transport.Watch(ctx, 30*time.Second)
//	defer wat.Stop()
//	rep, err := client.Do(req.WithContext(ctx))
//	if err != nil {
//		return transport.NotSent(err), transport.Cause(ctx, err)
//	}
//	wat.Reset() // for each piece of data received
package transport

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxHeadBytes bounds the head of a request or an answer that a process reads from another one. Heads are held as a whole,
// and grow when they are decoded.
const MaxHeadBytes = 32 << 10

// dialTimeout bounds the time to establish a connection. No part of a request is sent before
// the connection is established.
const dialTimeout = 2 * time.Second

// New returns a transport that keeps up to maxIdle idle connections to each address. With
// 0 it opens a new connection for each call.
func New(maxIdle int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: time.Minute,
		DisableCompression: true, DisableKeepAlives: maxIdle == 0, MaxResponseHeaderBytes: MaxHeadBytes,
	}
}

// IdleTimeoutError reports a peer that sent nothing within the time limit.
type IdleTimeoutError struct {
	// Limit is the time limit.
	Limit time.Duration
}

// Error names the time limit.
func (ite *IdleTimeoutError) Error() string {
	return fmt.Sprintf("peer sent no data for %s", ite.Limit)
}

// Watcher cancels a call's context if the peer sends nothing within the time limit.
type Watcher struct {
	limit  time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// Watch returns a context that is cancelled with cause *IdleTimeoutError if Reset isn't called
// within the limit. Stop releases the watcher.
func Watch(ctx context.Context, limit time.Duration) (context.Context, *Watcher) {
	ctx, cancel := context.WithCancelCause(ctx)
	wat := &Watcher{limit: limit, cancel: cancel}
	wat.timer = time.AfterFunc(limit, func() { cancel(&IdleTimeoutError{Limit: limit}) })
	return ctx, wat
}

// Reset restarts the time limit. It is called when data has been received.
func (wat *Watcher) Reset() {
	wat.timer.Reset(wat.limit)
}

// Shorten restarts the time limit with another duration, which applies until the next
// Reset.
func (wat *Watcher) Shorten(limit time.Duration) {
	wat.timer.Reset(limit)
}

// Stop stops the watcher and cancels the context.
func (wat *Watcher) Stop() {
	wat.timer.Stop()
	wat.cancel(nil)
}

// Cause returns the cause of the context's cancellation, or err if it isn't cancelled.
func Cause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// NotSent reports whether a call failed while connecting, before any data was sent.
func NotSent(err error) bool {
	var oer *net.OpError
	return errors.As(err, &oer) && oer.Op == "dial"
}
