package engine

import (
	"encoding/json"
	"hash/fnv"

	"lynxwell.dev/lynxwell/request"
)

// The paths and headers of the engine protocol.
const (
	PathChat    = "/v1/chat/completions"
	PathStreams = "/v1/streams/"
	PathLoad    = "/v1/load"
	PathEvents  = "/v1/cache/events"

	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	// HeaderOffset is the response header with the offset of the first event of a stream.
	HeaderOffset = "X-Stream-Offset"
)

// bytesPerToken is an estimate of the length of a token in bytes.
const bytesPerToken = 4

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest contains the fields of a chat completions request that are used for
// scheduling. All other fields are passed through unchanged.
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

// Choice is one alternative of an answer: Delta is the next part of a stream, Message the
// complete answer.
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

// UsageDetails counts the prompt tokens that came from the engine's cache.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Load is an engine's report of its load; it may be out of date.
type Load struct {
	Running  int  `json:"running"`
	Waiting  int  `json:"waiting"`
	Slots    int  `json:"slots"`
	Draining bool `json:"leaving"`
}

// CacheEvent reports that a prompt prefix was added to the engine's cache or evicted from it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix,string"`
	Evicted  bool   `json:"evicted"`
}

// CacheEvents is a page of cache events. The next page contains the events with sequence
// numbers greater than Next.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// DispatchRecord is a dispatch that a fake engine or backend server received.
type DispatchRecord struct {
	ID string
	// Call is the method and path of the dispatch.
	Call     string
	Priority int
	// PromptTokens is the length of the prompt, PrefillTokens the number of its tokens that
	// were computed rather than read from the cache.
	PromptTokens  int
	PrefillTokens int
	// Finished is set if an engine computed the answer to its end; it is always set for a
	// backend server.
	Finished bool
}

// Prompt is the estimated length of a prompt and of its shared prefix.
type Prompt struct {
	Tokens int
	// PrefixHash identifies the prompt's shared prefix, which is PrefixTokens long. Both are
	// 0 if the prefix is too short to be cached.
	PrefixHash   uint64
	PrefixTokens int
}

// minPrefixTokens is the length of the shortest prefix that is cached.
const minPrefixTokens = 16

// EstimatePrompt estimates a prompt's length. The shared prefix is every message but the last,
// since the part that differs between requests comes last.
func EstimatePrompt(messages []Message) Prompt {
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

// StreamBody returns the request's body with the fields that request a stream ending with
// a token count. All other fields stay as they are.
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
