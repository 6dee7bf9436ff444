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
	// Name is the name of the kind, for example "AllergyCheck".
	Name string
	// Service is the name of the requested service.
	Service string
	// Plain is set if the service is a plain service.
	Plain bool
	// Tier is the requested tier.
	Tier string
	// Account is the name of the client account; Config.Clients holds its client.
	Account string
	// PerSecond is the mean arrival rate in requests per second.
	PerSecond float64
	// PromptTokens is the length of the prompt, SharedTokens the length of its
	// prefix that requests share, and SharedPrefixes the number of distinct
	// prefixes.
	PromptTokens   int
	SharedTokens   int
	SharedPrefixes int
	// AnswerTokens is the length of the answer in tokens.
	AnswerTokens int
	// Deadline bounds the time to the complete answer.
	Deadline format.Duration
	// Once marks requests that must run at most once.
	Once bool
}

// sample is one request of a kind with the data from which its expected answer is derived.
type sample struct {
	kind    Kind
	request Request
	// messages is the prompt of a model request, text the body of a plain request.
	messages []engine.Message
	text     string
}

// bytesPerToken is the length of a token in the generated texts, in bytes.
const bytesPerToken = 4

func (kin Kind) newSample(random *rand.Rand, number int) (sample, error) {
	smp := sample{kind: kin}
	smp.request = Request{Method: http.MethodPost, Tier: kin.Tier, Once: kin.Once, Deadline: kin.Deadline.Std()}
	if kin.Plain {
		smp.text = fmt.Sprintf("%s %d %08x", kin.Name, number, random.Uint32())
		smp.request.Path = "/services/" + kin.Service + "/print"
		smp.request.Body = []byte(smp.text)
		return smp, nil
	}
	smp.messages = kin.messages(random, number)
	body, err := json.Marshal(engine.ChatRequest{Model: kin.Service, Messages: smp.messages, MaxTokens: kin.AnswerTokens, Stream: true})
	smp.request.Path = engine.PathChat
	smp.request.Body = body
	return smp, err
}

func (kin Kind) messages(random *rand.Rand, number int) []engine.Message {
	uniqueText := fmt.Sprintf("%s %d %08x ", kin.Name, number, random.Uint32())
	uniqueText += filler(max(0, (kin.PromptTokens-kin.SharedTokens)*bytesPerToken-len(uniqueText)))
	if kin.SharedTokens == 0 {
		return []engine.Message{{Role: "user", Content: uniqueText}}
	}
	prefix := fmt.Sprintf("%s home %d ", kin.Service, random.IntN(max(1, kin.SharedPrefixes)))
	prefix += filler(max(0, kin.SharedTokens*bytesPerToken-len(prefix)))
	return []engine.Message{{Role: "system", Content: prefix}, {Role: "user", Content: uniqueText}}
}

func filler(length int) string {
	const words = "rice beans maize soup "
	return strings.Repeat(words, length/len(words)+1)[:length]
}

// matches reports whether the answer is the expected answer to this request.
func (smp sample) matches(ans Answer) bool {
	if smp.kind.Plain {
		var echo backendtest.Echo
		return json.Unmarshal(ans.Body, &echo) == nil && echo.Body == smp.text
	}
	return streamText(ans.Body) == enginetest.Answer(smp.messages, smp.kind.AnswerTokens)
}

// streamText returns the concatenated text of a stream's events.
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
