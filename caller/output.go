package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"lynxwell.dev/lynxwell/engine"
	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/request"
)

// output writes one exchange to one caller.
type output struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	sub        *submission
	started    bool
	// held is a stream that the caller wants in one piece.
	buffered bytes.Buffer
}

// ending says how an answer to a caller ended.
type result struct {
	status  int
	code    string
	outcome request.Outcome
	// abort has the connection end as a broken one.
	abort bool
}

// take writes what is new; it returns how the answer ended, or nil.
func (out *output) apply(pro Progress) *result {
	if pro.Trimmed {
		return out.fail(gateway.Final{Cause: gateway.CauseAnswerExpired, Outcome: request.Ran})
	}
	if pro.Status != 0 && len(pro.Data) > 0 {
		if err := out.data(pro); err != nil {
			return &result{status: pro.Status, code: "CallerLeft", abort: true}
		}
	}
	switch {
	case pro.Final != nil:
		return out.fail(*pro.Final)
	case !pro.Over:
		return nil
	case !pro.Whole:
		return out.fail(gateway.Final{Cause: gateway.CauseEngineFailed, Outcome: request.Ran})
	default:
		return out.end(pro)
	}
}

// isBuffered reports whether the answer is a stream that the caller doesn't want as one.
func (out *output) isBuffered(status int) bool {
	return !out.sub.stream && status == http.StatusOK
}

func (out *output) data(pro Progress) error {
	if out.isBuffered(pro.Status) {
		out.buffered.Write(pro.Data)
		return nil
	}
	out.start(pro)
	// A caller that doesn't read for so long is given up.
	_ = out.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := out.writer.Write(pro.Data); err != nil {
		return err
	}
	return out.controller.Flush()
}

func (out *output) start(pro Progress) {
	if out.started {
		return
	}
	out.started = true
	for name, values := range pro.Header {
		out.writer.Header()[name] = values
	}
	out.writer.WriteHeader(pro.Status)
}

func (out *output) end(pro Progress) *result {
	if out.isBuffered(pro.Status) {
		return out.endBuffered()
	}
	out.start(pro)
	return &result{status: pro.Status, code: "Whole", outcome: request.Ran}
}

func (out *output) endBuffered() *result {
	chu, ok := joinStream(out.buffered.Bytes())
	if !ok {
		return out.fail(gateway.Final{Cause: gateway.CauseEngineFailed, Outcome: request.Ran})
	}
	_ = out.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	sendJSON(out.writer, http.StatusOK, chu)
	return &result{status: http.StatusOK, code: "Whole", outcome: request.Ran}
}

// fail tells the caller of a final answer. Where part of an answer has gone
// out, it ends so that it can't be taken for a whole one.
func (out *output) fail(fin gateway.Final) *result {
	pro := problemOf(fin)
	end := &result{status: pro.status, code: string(fin.Cause), outcome: fin.Outcome}
	if !out.started {
		sendProblem(out.writer, pro)
		return end
	}
	if isEventStream(out.writer.Header()) {
		if data, err := json.Marshal(pro.body()); err == nil {
			_, _ = out.writer.Write([]byte("data: " + string(data) + "\n\n"))
			_ = out.controller.Flush()
		}
	}
	end.abort = true
	return end
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// joinStream makes one answer of a stream's events.
func joinStream(events []byte) (engine.Chunk, bool) {
	whole := engine.Chunk{Object: "chat.completion"}
	var text strings.Builder
	ended := false
	for line := range bytes.Lines(events) {
		payload, isData := bytes.CutPrefix(line, []byte("data:"))
		if !isData {
			continue
		}
		payload = bytes.TrimSpace(payload)
		if string(payload) == "[DONE]" {
			ended = true
			break
		}
		var chu engine.Chunk
		if json.Unmarshal(payload, &chu) != nil {
			return whole, false
		}
		addChunk(&whole, &text, chu)
	}
	reason := "stop"
	whole.Choices = []engine.Choice{{
		Message: &engine.Message{Role: "assistant", Content: text.String()}, FinishReason: &reason,
	}}
	return whole, ended
}

func addChunk(whole *engine.Chunk, text *strings.Builder, chu engine.Chunk) {
	whole.ID, whole.Created, whole.Model = chu.ID, chu.Created, chu.Model
	if chu.Usage != nil {
		whole.Usage = chu.Usage
	}
	for _, cho := range chu.Choices {
		if cho.Delta != nil {
			text.WriteString(cho.Delta.Content)
		}
	}
}
