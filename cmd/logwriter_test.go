package cmd

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stuck is a reader of the log that has stopped reading.
type stuck struct {
	read chan struct{}
	buf  bytes.Buffer
}

func (stu *stuck) Write(data []byte) (int, error) {
	<-stu.read
	return stu.buf.Write(data)
}

// A reader of the log that stops reading costs lines, not time.
func TestStuckReaderOfTheLogHoldsNobodyUp(t *testing.T) {
	stu := &stuck{read: make(chan struct{})}
	out := newLogWriter(stu)
	written := make(chan struct{})
	go func() {
		for range 3 * logLines {
			// The writer takes every line without an error.
			_, _ = out.Write([]byte("{}\n"))
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("writing the log waits for its reader")
	}
	close(stu.read)
	assert.NilError(t, out.Close())
	lines := int64(bytes.Count(stu.buf.Bytes(), []byte("\n")))
	assert.Assert(t, out.dropped.Load() > 0)
	assert.Assert(t, lines+out.dropped.Load() <= 3*logLines, "%d and %d", lines, out.dropped.Load())
}
