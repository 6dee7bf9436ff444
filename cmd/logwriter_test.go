package cmd

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter is a writer whose writes block until unblock is closed, like a log reader that
// has stopped reading.
type blockedWriter struct {
	unblock chan struct{}
	buf     bytes.Buffer
}

func (blw *blockedWriter) Write(data []byte) (int, error) {
	<-blw.unblock
	return blw.buf.Write(data)
}

// A log reader that stops reading must not block the writer; lines are dropped and counted instead.
func TestLogWriterDropsLinesInsteadOfBlocking(t *testing.T) {
	blw := &blockedWriter{unblock: make(chan struct{})}
	out := newLogWriter(blw)
	written := make(chan struct{})
	go func() {
		for range 3 * logBufferLines {
			// logWriter accepts every line without an error.
			_, _ = out.Write([]byte("{}\n"))
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("writing to the log blocked for 10 s because its reader stopped")
	}
	close(blw.unblock)
	assert.NilError(t, out.Close())
	lines := int64(bytes.Count(blw.buf.Bytes(), []byte("\n")))
	assert.Assert(t, out.dropped.Load() > 0)
	assert.Assert(t, lines+out.dropped.Load() <= 3*logBufferLines, "%d lines written and %d dropped", lines, out.dropped.Load())
}
