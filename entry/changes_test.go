package entry

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// However many hosts are registered or deregistered at once, one line of bounded length is logged.
func TestManyHostChangesLogOneLine(t *testing.T) {
	var buf bytes.Buffer
	var mch memberChanges
	mch.log(zerolog.New(&buf), 7)
	assert.Equal(t, buf.Len(), 0)
	for idx := range 300 {
		mch.registered = append(mch.registered, fmt.Sprint("host-", idx))
	}
	mch.deregistered = []string{"other"}
	mch.log(zerolog.New(&buf), 7)
	assert.Equal(t, bytes.Count(buf.Bytes(), []byte("\n")), 1)
	assert.Assert(t, bytes.Contains(buf.Bytes(), []byte(`"Entered":300`)))
	assert.Assert(t, bytes.Contains(buf.Bytes(), []byte(`"GoneNames":["other"]`)))
	assert.Assert(t, buf.Len() < 500)
}
