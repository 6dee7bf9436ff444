package story_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/story"
)

// An error answer from the engine is relayed to the client unchanged and usually arrives
// quickly. It must count as EngineFailed, neither as InTime nor as late.
func TestLossesCountEngineErrorsAsEngineFailed(t *testing.T) {
	const log = `{"Request":"a","Route":"r","Cause":"Answered","Status":200,"Took":5,"Timely":"InTime","time":"2026-01-14T09:28:35.037Z","message":"request"}
{"Request":"b","Route":"r","Cause":"Answered","Status":500,"Took":5,"Timely":"InTime","time":"2026-01-14T09:28:35.047Z","message":"request"}
{"Request":"c","Route":"r","Cause":"Answered","Status":500,"Took":5,"Timely":"LateFirst","time":"2026-01-14T09:28:35.057Z","message":"request"}
`
	los := story.NewLosses(time.Second)
	assert.NilError(t, los.Read(strings.NewReader(log)))
	var out bytes.Buffer
	assert.NilError(t, los.Write(&out))
	first, _, _ := strings.Cut(out.String(), "\n\n")
	head, row, _ := strings.Cut(first, "\n")
	assert.DeepEqual(t, strings.Fields(head), []string{"FROM", "REQUESTS", "InTime", "EngineFailed"})
	assert.DeepEqual(t, strings.Fields(row), []string{"0.0s", "3", "1", "2"})
}
