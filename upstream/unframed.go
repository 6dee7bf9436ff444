package upstream

import (
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// An answer that declares no length and isn't chunked ends with its connection (RFC 9112, 6.3). An engine may answer
// before it has read the request, and a sound one reads the rest before it closes the connection (9.6). One that doesn't has broken
// off: its connection ends as that of a complete answer, and is reset when the rest of the request arrives.

const (
	// writeLimit bounds the wait for the end of the request's writing once the connection has ended.
	writeLimit = time.Second
	// resetWait is how long the connection of a long request is watched for a reset once it has ended.
	resetWait = 100 * time.Millisecond
)

// UnreadRequestError reports an answer that ended with its connection before the engine can have read the request, so that
// it may be a part of one.
type UnreadRequestError struct {
	// Cause is why the request could not be written; nil if its writing didn't end in time.
	Cause error
}

// Error returns the cause.
func (ure *UnreadRequestError) Error() string {
	const text = "the answer ended with its connection, and the engine hasn't read the request"
	if ure.Cause == nil {
		return text
	}
	return text + ": " + ure.Cause.Error()
}

// Unwrap returns io.ErrUnexpectedEOF, since the engine ended the connection, and the cause.
func (ure *UnreadRequestError) Unwrap() []error {
	if ure.Cause == nil {
		return []error{io.ErrUnexpectedEOF}
	}
	return []error{io.ErrUnexpectedEOF, ure.Cause}
}

// unframedBody is the body of an answer that ends with its connection.
type unframedBody struct {
	reader   io.Reader
	exchange *exchange
	// end is the result of the check at the end; nil before it.
	end error
}

// Read implements io.Reader. It returns io.EOF only if the engine isn't known to have left the request unread.
func (ubo *unframedBody) Read(buf []byte) (int, error) {
	if ubo.end != nil {
		return 0, ubo.end
	}
	count, err := ubo.reader.Read(buf)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	ubo.end = io.EOF
	if cerr := ubo.exchange.checkRequestRead(); cerr != nil {
		ubo.end = cerr
	}
	return count, ubo.end
}

// checkRequestRead returns an *UnreadRequestError if the request wasn't written whole, or if the connection is reset
// after its end.
func (exc *exchange) checkRequestRead() error {
	limit := time.NewTimer(writeLimit)
	defer limit.Stop()
	select {
	case <-exc.written:
	case <-limit.C:
		return &UnreadRequestError{}
	case <-exc.aborted:
		return &UnreadRequestError{}
	}
	if exc.writeErr != nil {
		return &UnreadRequestError{Cause: exc.writeErr}
	}
	if exc.bodyBytes > smallBodyBytes {
		exc.awaitReset()
	}
	if err := exc.connection.pendingError(); err != nil {
		return &UnreadRequestError{Cause: err}
	}
	return nil
}

// awaitReset waits for resetWait, or until the call is aborted.
func (exc *exchange) awaitReset() {
	wait := time.NewTimer(resetWait)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-exc.aborted:
	}
}

// WasReset reports whether the engine has reset the connection of an answer that had ended with it.
func (ans *Answer) WasReset() bool {
	return ans.exchange != nil && ans.EndsWithConnection() && ans.exchange.connection.pendingError() != nil
}

// pendingError returns the error of a connection that the peer has reset after it had ended its side: reads don't show it. The
// error is kept.
func (con *connection) pendingError() error {
	if con.resetErr != nil {
		return con.resetErr
	}
	err := con.control(func(fd uintptr) error {
		num, gerr := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		if gerr == nil && num != 0 {
			con.resetErr = syscall.Errno(num)
		}
		return nil
	})
	if err != nil && !errors.Is(err, syscall.EAGAIN) {
		return err
	}
	return con.resetErr
}
