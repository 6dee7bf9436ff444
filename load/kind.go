package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"

	"lynxwell.dev/lynxwell/backendtest"
	"lynxwell.dev/lynxwell/engine"
	"lynxwell.dev/lynxwell/enginetest"
	"lynxwell.dev/lynxwell/format"
)

// Kind is one kind of request in a load.
type Kind struct {
	// Name says what the request is, for example "AllergyCheck".
	Name string
	// Service is the service asked.
	Service string
	// Plain is set for a plain service.
	Plain bool
	// Tier is the tier asked for.
	Tier string
	// Account names the client account; the runner knows its key.
	Account string
	// PerSecond is the mean rate of arrivals.
	PerSecond float64
	// PromptTokens is the whole prompt, SharedTokens the part that requests
	// have in common; SharedPrefixes is how many different such parts there are.
	PromptTokens   int
	SharedTokens   int
	SharedPrefixes int
	// AnswerTokens is the length of the answer.
	AnswerTokens int
	// Deadline is the time for the whole answer.
	Deadline format.Duration
	// Once marks the requests as not to be repeated.
	Once bool
}

// shot is one request of a kind, with what its answer must be.
type shot struct {
	kind     Kind
	request  Request
	messages []engine.Message
	text     string
}

// bytesPerToken is the length of a token in the texts made here.
const bytesPerToken = 4

func (kin Kind) shot(random *rand.Rand, number int) (shot, error) {
	sho := shot{kind: kin}
	sho.request = Request{Method: http.MethodPost, Tier: kin.Tier, Once: kin.Once, Deadline: kin.Deadline.Std()}
	if kin.Plain {
		sho.text = fmt.Sprintf("%s %d %08x", kin.Name, number, random.Uint32())
		sho.request.Path = "/services/" + kin.Service + "/print"
		sho.request.Body = []byte(sho.text)
		return sho, nil
	}
	sho.messages = kin.messages(random, number)
	body, err := json.Marshal(engine.ChatRequest{Model: kin.Service, Messages: sho.messages, MaxTokens: kin.AnswerTokens, Stream: true})
	sho.request.Path = engine.PathChat
	sho.request.Body = body
	return sho, err
}

func (kin Kind) messages(random *rand.Rand, number int) []engine.Message {
	own := fmt.Sprintf("%s %d %08x ", kin.Name, number, random.Uint32())
	own += filler(max(0, (kin.PromptTokens-kin.SharedTokens)*bytesPerToken-len(own)))
	if kin.SharedTokens == 0 {
		return []engine.Message{{Role: "user", Content: own}}
	}
	prefix := fmt.Sprintf("%s home %d ", kin.Service, random.IntN(max(1, kin.SharedPrefixes)))
	prefix += filler(max(0, kin.SharedTokens*bytesPerToken-len(prefix)))
	return []engine.Message{{Role: "system", Content: prefix}, {Role: "user", Content: own}}
}

func filler(length int) string {
	const words = "rice beans maize soup "
	return strings.Repeat(words, length/len(words)+1)[:length]
}

// isOwn reports whether the answer is the one to this very request.
func (sho shot) isOwn(ans Answer) bool {
	if sho.kind.Plain {
		var echo backendtest.Echo
		return json.Unmarshal(ans.Body, &echo) == nil && echo.Body == sho.text
	}
	return streamText(ans.Body) == enginetest.Answer(sho.messages, sho.kind.AnswerTokens)
}

// streamText joins the text of a stream's events.
func streamText(body []byte) string {
	var text strings.Builder
	for line := range strings.Lines(string(body)) {
		payload, isData := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		var chu engine.Chunk
		if !isData || json.Unmarshal([]byte(payload), &chu) != nil {
			continue
		}
		for _, cho := range chu.Choices {
			if cho.Delta != nil {
				text.WriteString(cho.Delta.Content)
			}
		}
	}
	return text.String()
}
