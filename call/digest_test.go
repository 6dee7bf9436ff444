package call_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/call"
)

func sample() call.Request {
	return call.Request{ID: "one", Method: "POST", Host: "menus.example", Target: "/stream/x?q=1", Path: "/stream/x", Body: []byte("a week of meals")}
}

func TestDigestDependsOnContentAndAccount(t *testing.T) {
	usual := sample().Digest("kitchen")
	cases := map[string]struct {
		change  func(*call.Request)
		account string
		same    bool
	}{
		"another id":        {func(req *call.Request) { req.ID = "two" }, "kitchen", true},
		"another deadline":  {func(req *call.Request) { req.Deadline = 7 }, "kitchen", true},
		"another account":   {func(*call.Request) {}, "nurses", false},
		"no account":        {func(*call.Request) {}, "", false},
		"another method":    {func(req *call.Request) { req.Method = "PUT" }, "kitchen", false},
		"another host name": {func(req *call.Request) { req.Host = "time.example" }, "kitchen", false},
		"another query":     {func(req *call.Request) { req.Target = "/stream/x?q=2" }, "kitchen", false},
		"another body":      {func(req *call.Request) { req.Body = []byte("a week of meal") }, "kitchen", false},
		"no body":           {func(req *call.Request) { req.Body = nil }, "kitchen", false},
	}
	for name, tst := range cases {
		t.Run(name, func(t *testing.T) {
			req := sample()
			tst.change(&req)
			assert.Equal(t, req.Digest(tst.account) == usual, tst.same)
		})
	}
}

// Without separation of the fields, a client could move text from one field to the next and
// produce another request's digest.
func TestDigestsOfDifferentFieldsDiffer(t *testing.T) {
	text := rapid.StringMatching(`[a-c]{0,3}`)
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) (call.Request, string) {
			return call.Request{
				Method: text.Draw(t, label+"method"), Host: text.Draw(t, label+"host"), Target: text.Draw(t, label+"target"),
				Body: []byte(text.Draw(t, label+"body")),
			}, text.Draw(t, label+"account")
		}
		one, accountOne := draw("one")
		two, accountTwo := draw("two")
		same := accountOne == accountTwo && one.Method == two.Method && one.Host == two.Host && one.Target == two.Target && bytes.Equal(one.Body, two.Body)
		assert.Equal(t, one.Digest(accountOne) == two.Digest(accountTwo), same)
	})
}

func TestDigestTextRoundTrip(t *testing.T) {
	dig := sample().Digest("kitchen")
	read, err := call.ParseDigest(dig.String())
	assert.NilError(t, err)
	assert.Equal(t, read, dig)
	for _, text := range []string{"12", "zz", dig.String() + "00"} {
		_, err = call.ParseDigest(text)
		assert.ErrorContains(t, err, "want 32 hexadecimal digits")
	}
}

func BenchmarkDigest(b *testing.B) {
	for name, size := range map[string]int{"200B": 200, "10KB": 10 << 10, "1MB": 1 << 20} {
		req := sample()
		req.Body = make([]byte, size)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_ = req.Digest("kitchen")
			}
		})
	}
}
