package engine

import (
	"encoding/json"
	"hash/fnv"

	"lynxwell.dev/lynxwell/request"
)

// The paths and headers of the engines' protocol.
const (
	PathChat    = "/v1/chat/completions"
	PathStreams = "/v1/streams/"
	PathLoad    = "/v1/load"
	PathEvents  = "/v1/cache/events"

	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	// HeaderOffset answers a resumption: the number of the first event sent.
	HeaderOffset = "X-Stream-Offset"
)

// bytesPerToken is the rough length of a token of text.
const bytesPerToken = 4

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the part of a chat completions request that matters for its
// scheduling; what else there is goes through untouched.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of an answer; Delta streams it, Message has it whole.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage counts an answer's tokens.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          *UsageDetails `json:"prompt_tokens_details,omitempty"`
}

// UsageDetails tells how much of the prompt came from the engine's cache.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Load is an engine's own report; it lags.
type Load struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving"`
}

// CacheEvent tells that a prompt prefix came into the engine's cache or left it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix,string"`
	Evicted  bool   `json:"evicted"`
}

// CacheEvents is a page of cache events; Next is where the following one starts.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// DispatchRecord is a dispatch that an engine's stand-in received.
type DispatchRecord struct {
	ID string
	// Call is the method and path that it came by.
	Call     string
	Priority int
	// PromptTokens is the whole prompt, PrefillTokens the part computed.
	PromptTokens  int
	PrefillTokens int
	// Finished is set when the answer was computed whole.
	Finished bool
}

// Prompt is what a prompt weighs.
type Prompt struct {
	Tokens int
	// PrefixHash names the shared part, PrefixTokens long.
	PrefixHash   uint64
	PrefixTokens int
}

// minPrefixTokens is the shortest shared part worth remembering.
const minPrefixTokens = 16

// Weigh estimates a prompt's length. Its shared part is everything but the
// last message: what changes from request to request comes last.
func Weigh(messages []Message) Prompt {
	var pro Prompt
	hsh := fnv.New64a()
	for idx, msg := range messages {
		tokens := (len(msg.Content) + bytesPerToken - 1) / bytesPerToken
		pro.Tokens += tokens
		if idx < len(messages)-1 {
			pro.PrefixTokens += tokens
			_, _ = hsh.Write([]byte(msg.Role + "\x00" + msg.Content + "\x00"))
		}
	}
	if pro.PrefixTokens >= minPrefixTokens {
		pro.PrefixHash = hsh.Sum64()
	} else {
		pro.PrefixTokens = 0
	}
	return pro
}

// StreamBody returns the request's body changed to ask for a stream with a
// count of tokens at its end; all else stays as it is.
func StreamBody(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}

// streamPath returns the path of a request's stream.
func streamPath(id request.ID) string {
	return PathStreams + id.String()
}
