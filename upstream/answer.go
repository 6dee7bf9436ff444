package upstream

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/call"
)

// Answer is an engine's answer. The body is read from Body; Close must be called.
type Answer struct {
	Status int
	Header http.Header
	Head   call.AnswerHead
	// Body returns io.EOF only if the answer is complete.
	Body io.Reader

	response   *http.Response
	exchange   *exchange
	complete   bool
	afterStray bool
	// close replaces the return of the connection for an answer that another host forwards.
	close func()
	// allowance is what may be held of the answer. It is released by Close unless kept is set.
	allowance *Allowance
	kept      bool
}

// Forwarded is an answer that another host forwards.
type Forwarded struct {
	Status int
	Header http.Header
	Head   call.AnswerHead
	// Body returns io.EOF only if the answer is complete.
	Body io.Reader
	// Close is called once, by Answer.Close.
	Close func()
	// Allowance is what may be held of the answer.
	Allowance *Allowance
}

// NewForwarded returns an answer that another host forwards.
func NewForwarded(fwd Forwarded) *Answer {
	return &Answer{Status: fwd.Status, Header: fwd.Header, Head: fwd.Head, Body: fwd.Body, close: fwd.Close, allowance: fwd.Allowance}
}

// ReadAll reads the body to its end. It returns an *AnswerTooLargeError if the body is larger than limit bytes, a
// *HeldBytesError if the host may hold no more of it, and no part of such a body.
func (ans *Answer) ReadAll(limit int64) ([]byte, error) {
	body := make([]byte, 0, bufferBytes)
	for {
		if len(body) == cap(body) {
			grown, err := ans.grow(body, limit)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		count, err := ans.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case int64(len(body)) > limit:
			return nil, &AnswerTooLargeError{Limit: limit}
		case errors.Is(err, io.EOF):
			ans.MarkComplete()
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns the part of a body that has been read with room for more, but for not much more than limit bytes.
func (ans *Answer) grow(body []byte, limit int64) ([]byte, error) {
	former := int64(cap(body))
	size := min(2*former, limit+1)
	// While the body is copied, both copies are held.
	if err := ans.allowance.Hold(former + size); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, size), body...)
	return grown, ans.allowance.Hold(size)
}

// Discard reads the rest of the body if it is small, so that the connection can be reused.
func (ans *Answer) Discard() {
	_, err := io.Copy(io.Discard, io.LimitReader(ans.Body, maxStrayBytes))
	var one [1]byte
	if err != nil {
		return
	}
	if _, err := ans.Body.Read(one[:]); errors.Is(err, io.EOF) {
		ans.MarkComplete()
	}
}

// Events returns a reader of the events of the body.
func (ans *Answer) Events() *EventReader {
	return newEventReader(ans.Body, ans.allowance)
}

// KeepBody makes Close leave the body held, and returns a function that releases it.
func (ans *Answer) KeepBody() func() {
	ans.kept = true
	return ans.allowance.Release
}

// MarkComplete records that the body was read to its end, which lets Close keep the connection
// for reuse.
func (ans *Answer) MarkComplete() {
	ans.complete = true
}

// Close returns the connection to the idle ones if it can be reused, and closes it otherwise. If
// the answer wasn't read to its end, closing makes most engines stop working on the request.
func (ans *Answer) Close() {
	if !ans.kept {
		ans.allowance.Release()
	}
	if ans.close != nil {
		ans.close()
		return
	}
	exc := ans.exchange
	detached := exc.stopAbort()
	exc.client.setBusy(exc.connection, false)
	if !detached || !ans.complete || ans.afterStray || ans.response.Close || !ans.framed() || !exc.sent() {
		closeQuietly(exc.connection)
		return
	}
	limit := defaultIdleLimit
	if ans.Head.HasIdleLimit {
		limit = ans.Head.IdleLimit - idleMargin
	}
	exc.connection.retireAt = exc.client.cfg.Now().Add(limit)
	if limit <= 0 || exc.connection.reader.Buffered() > 0 {
		closeQuietly(exc.connection)
		return
	}
	exc.client.putIdle(exc.connection)
}

// EndsWithConnection reports whether the answer declares no length and isn't chunked, so that the end of its connection
// is its end.
func (ans *Answer) EndsWithConnection() bool {
	return ans.response != nil && !ans.framed()
}

// framed reports whether the answer declares its length or is chunked, rather than ending
// with its connection.
func (ans *Answer) framed() bool {
	return ans.response.ContentLength >= 0 || len(ans.response.TransferEncoding) > 0
}
