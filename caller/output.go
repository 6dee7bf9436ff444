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

// output writes one exchange to one client.
type output struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	sub        *submission
	started    bool
	// buffered collects a stream for a client that requested a single answer.
	buffered bytes.Buffer
}

// result describes how an answer to a client ended.
type result struct {
	status  int
	code    string
	outcome request.Outcome
	// abort requests that the connection be aborted, so that the client notices the
	// incomplete answer.
	abort bool
}

// apply writes the new part of the answer. It returns the result if the answer has
// ended, and nil otherwise.
func (out *output) apply(prg Progress) *result {
	if prg.Trimmed {
		return out.fail(gateway.Final{Cause: gateway.CauseAnswerExpired, Outcome: request.Ran})
	}
	if prg.Status != 0 && len(prg.Data) > 0 {
		if err := out.data(prg); err != nil {
			return &result{status: prg.Status, code: "CallerLeft", abort: true}
		}
	}
	switch {
	case prg.Final != nil:
		return out.fail(*prg.Final)
	case !prg.Over:
		return nil
	case !prg.Whole:
		return out.fail(gateway.Final{Cause: gateway.CauseEngineFailed, Outcome: request.Ran})
	default:
		return out.end(prg)
	}
}

// isBuffered reports whether the engine's stream is collected into a single answer,
// because the client did not request a stream.
func (out *output) isBuffered(status int) bool {
	return !out.sub.stream && status == http.StatusOK
}

func (out *output) data(prg Progress) error {
	if out.isBuffered(prg.Status) {
		out.buffered.Write(prg.Data)
		return nil
	}
	out.start(prg)
	// The answer to a client that reads nothing for this long is aborted.
	_ = out.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := out.writer.Write(prg.Data); err != nil {
		return err
	}
	return out.controller.Flush()
}

func (out *output) start(prg Progress) {
	if out.started {
		return
	}
	out.started = true
	for name, values := range prg.Header {
		out.writer.Header()[name] = values
	}
	out.writer.WriteHeader(prg.Status)
}

func (out *output) end(prg Progress) *result {
	if out.isBuffered(prg.Status) {
		return out.endBuffered()
	}
	out.start(prg)
	return &result{status: prg.Status, code: "Whole", outcome: request.Ran}
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

// fail sends a final answer to the client. If part of the answer has already been sent,
// it aborts the connection, so that the client can't take that part for a complete
// answer.
func (out *output) fail(fin gateway.Final) *result {
	pro := problemOf(fin)
	res := &result{status: pro.status, code: string(fin.Cause), outcome: fin.Outcome}
	if !out.started {
		sendProblem(out.writer, pro)
		return res
	}
	if isEventStream(out.writer.Header()) {
		if data, err := json.Marshal(pro.body()); err == nil {
			_, _ = out.writer.Write([]byte("data: " + string(data) + "\n\n"))
			_ = out.controller.Flush()
		}
	}
	res.abort = true
	return res
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// joinStream joins the events of a stream into a single answer. It returns false for a
// stream that is malformed or incomplete.
func joinStream(events []byte) (engine.Chunk, bool) {
	joined := engine.Chunk{Object: "chat.completion"}
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
			return joined, false
		}
		addChunk(&joined, &text, chu)
	}
	reason := "stop"
	joined.Choices = []engine.Choice{{
		Message: &engine.Message{Role: "assistant", Content: text.String()}, FinishReason: &reason,
	}}
	return joined, ended
}

func addChunk(joined *engine.Chunk, text *strings.Builder, chu engine.Chunk) {
	joined.ID, joined.Created, joined.Model = chu.ID, chu.Created, chu.Model
	if chu.Usage != nil {
		joined.Usage = chu.Usage
	}
	for _, cho := range chu.Choices {
		if cho.Delta != nil {
			text.WriteString(cho.Delta.Content)
		}
	}
}
