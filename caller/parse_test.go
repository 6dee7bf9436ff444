package caller

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/engine"
)

func TestParseChatNamesTheField(t *testing.T) {
	cases := map[string]struct{ body, field string }{
		"Valid":             {`{"model": "m", "messages": [{"role": "user", "content": "c"}]}`, ""},
		"NoModel":           {`{"messages": [{"role": "user", "content": "c"}]}`, "model"},
		"NoMessages":        {`{"model": "m"}`, "messages"},
		"NegativeMaxTokens": {`{"model": "m", "messages": [{}], "max_tokens": -1}`, "max_tokens"},
		"NotJSON":           {`{`, "body"},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			_, pro := parseChat([]byte(cas.body))
			if cas.field == "" {
				assert.Assert(t, pro == nil)
				return
			}
			assert.Equal(t, pro.field, cas.field)
			assert.Equal(t, pro.status, http.StatusBadRequest)
		})
	}
}

func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model": "m", "messages": [{"role": "user", "content": "c"}], "max_tokens": 3, "stream": true}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, pro := parseChat(body)
		if pro != nil {
			assert.Assert(t, pro.field != "" && pro.message != "")
			return
		}
		prompt := engine.EstimatePrompt(chat.Messages)
		assert.Assert(t, prompt.PrefixTokens <= prompt.Tokens)
		_, err := engine.StreamBody(body)
		assert.NilError(t, err)
	})
}

func FuzzParseDeadline(f *testing.F) {
	f.Add("20s")
	f.Add("1500ms")
	f.Add("-1s")
	f.Fuzz(func(t *testing.T, text string) {
		val, err := ParseDeadline(text)
		assert.Assert(t, err != nil || (val > 0 && val <= time.Hour))
	})
}
