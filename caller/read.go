package caller

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"lynxwell.dev/lynxwell/backend"
	"lynxwell.dev/lynxwell/engine"
	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/resource"
)

// The defaults for services and requests that don't set a value, and the maximum deadline.
const (
	defaultMaxBodyBytes = 1 << 20
	defaultDeadline     = 60 * time.Second
	maxDeadline         = time.Hour
	defaultMaxTokens    = 256
)

// readChat reads and validates a chat completions request.
func (srv *Server) readChat(wri http.ResponseWriter, req *http.Request) (*submission, *problem) {
	acc, pro := srv.authenticate(req)
	if pro != nil {
		return nil, pro
	}
	conf := srv.cfg.Backend.Configuration()
	body, pro := readBody(wri, req, maxBodyOfAny(conf))
	if pro != nil {
		return nil, pro
	}
	chat, pro := parseChat(body)
	if pro != nil {
		return nil, pro
	}
	ser, pro := serviceFor(conf, acc, chat.Model, resource.ProtocolModel)
	if pro != nil {
		return nil, pro
	}
	if int64(len(body)) > maxBodyOf(ser) {
		return nil, &problem{status: http.StatusRequestEntityTooLarge, code: "BodyTooLarge", message: "body: larger than the service takes"}
	}
	stream, err := engine.StreamBody(body)
	if err != nil {
		return nil, badRequest("body", err.Error())
	}
	sub, pro := srv.newSubmission(req, conf, acc, ser, body)
	if pro != nil {
		return nil, pro
	}
	prompt := engine.EstimatePrompt(chat.Messages)
	spec := &sub.arrived.Spec
	spec.PromptTokens, spec.PrefixHash, spec.PrefixTokens = prompt.Tokens, prompt.PrefixHash, prompt.PrefixTokens
	spec.MaxTokens = chat.MaxTokens
	if spec.MaxTokens == 0 {
		spec.MaxTokens = defaultMaxTokens
	}
	sub.work = ModelWork{Body: stream}
	sub.stream = chat.Stream
	return sub, nil
}

// parseChat parses the fields of a chat completions request that affect scheduling. The
// problem names the invalid field.
func parseChat(body []byte) (engine.ChatRequest, *problem) {
	var chat engine.ChatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return chat, badRequest("body", err.Error())
	}
	if chat.Model == "" {
		return chat, badRequest("model", "want the name of a service")
	}
	if len(chat.Messages) == 0 {
		return chat, badRequest("messages", "want at least one message")
	}
	if chat.MaxTokens < 0 {
		return chat, badRequest("max_tokens", "want 0 or more")
	}
	return chat, nil
}

// readPlain reads and validates a request to a plain service.
func (srv *Server) readPlain(wri http.ResponseWriter, req *http.Request) (*submission, *problem) {
	acc, pro := srv.authenticate(req)
	if pro != nil {
		return nil, pro
	}
	conf := srv.cfg.Backend.Configuration()
	ser, pro := serviceFor(conf, acc, mux.Vars(req)["service"], resource.ProtocolPlain)
	if pro != nil {
		return nil, pro
	}
	body, pro := readBody(wri, req, maxBodyOf(ser))
	if pro != nil {
		return nil, pro
	}
	sub, pro := srv.newSubmission(req, conf, acc, ser, body)
	if pro != nil {
		return nil, pro
	}
	path := "/" + strings.TrimPrefix(mux.Vars(req)["rest"], "/")
	sub.work = PlainWork{
		Method: req.Method, Path: path, Query: req.URL.RawQuery,
		Header: withoutLynxwellHeaders(backend.EndToEnd(req.Header)), Body: body,
	}
	sub.stream = true
	return sub, nil
}

// withoutLynxwellHeaders removes from header the fields that are meant for lynxwell and not for
// the backend server, among them the client account's key, and returns header.
func withoutLynxwellHeaders(header http.Header) http.Header {
	for _, name := range []string{HeaderDeadline, HeaderTier, HeaderOnce, HeaderRelayed, HeaderID, "Authorization"} {
		header.Del(name)
	}
	return header
}

// newSubmission validates the headers that model and plain requests share and returns a submission
// without its work, which readChat and readPlain set.
func (srv *Server) newSubmission(req *http.Request, conf resource.Configuration, acc resource.ClientAccount, ser resource.Service, body []byte) (*submission, *problem) {
	tier, pro := tierFor(conf, acc, req.Header.Get(HeaderTier))
	if pro != nil {
		return nil, pro
	}
	remaining, pro := deadlineOf(req.Header.Get(HeaderDeadline), ser)
	if pro != nil {
		return nil, pro
	}
	id, pro := srv.requestID(req)
	if pro != nil {
		return nil, pro
	}
	sub := &submission{body: body, account: acc.Name}
	sub.arrived = gateway.Arrived{
		Client: gateway.ClientID(srv.lastClient.Add(1)), ID: id, Relayed: req.Header.Get(HeaderRelayed) != "",
		Spec: gateway.Spec{
			Service: ser.Name, Tier: tier.Name, Rank: tier.Rank, Account: acc.Name, Weight: acc.Weight,
			Remaining: remaining, Fingerprint: fingerprint(req, acc.Name, body),
		},
	}
	sub.log = logFields{start: time.Now(), id: id, account: acc.Name, tier: tier.Name, service: ser.Name}
	return sub, nil
}

func (srv *Server) requestID(req *http.Request) (request.ID, *problem) {
	text := req.Header.Get(HeaderID)
	once, pro := onceOf(req.Header.Get(HeaderOnce))
	if pro != nil {
		return request.ID{}, pro
	}
	if text == "" && once {
		return request.ID{}, badRequest(HeaderID, "a request marked "+HeaderOnce+" must carry an id: a prefix from GET /v1/addresses, a hyphen and a part of your own")
	}
	if text == "" {
		id := srv.cfg.Backend.NewID()
		if id.View == 0 {
			return id, &problem{
				status: http.StatusServiceUnavailable, code: "NoView", message: "this host knows no view yet",
				outcome: request.NotRun, retry: true, retryAfter: time.Second,
			}
		}
		return id, nil
	}
	id, err := request.ParseID(text)
	if err != nil {
		return request.ID{}, badRequest(HeaderID, err.Error())
	}
	return id, nil
}

func onceOf(text string) (bool, *problem) {
	switch text {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, badRequest(HeaderOnce, `want "true" or "false"`)
	}
}

func tierFor(conf resource.Configuration, acc resource.ClientAccount, name string) (resource.Tier, *problem) {
	if name == "" {
		name = acc.Tiers[0]
	}
	tier, known := conf.Tier(name)
	if !known || !slices.Contains(acc.Tiers, name) {
		return tier, &problem{status: http.StatusForbidden, code: "TierNotAllowed", message: fmt.Sprintf("%s: the account may not use tier %q", HeaderTier, name), outcome: request.NotRun}
	}
	return tier, nil
}

func serviceFor(conf resource.Configuration, acc resource.ClientAccount, name string, protocol resource.Protocol) (resource.Service, *problem) {
	ser, known := conf.Service(name)
	if !known || ser.Protocol != protocol {
		return ser, &problem{status: http.StatusNotFound, code: "NoSuchService", message: fmt.Sprintf("there is no service %q of this kind", name), outcome: request.NotRun}
	}
	if len(acc.Services) > 0 && !slices.Contains(acc.Services, name) {
		return ser, &problem{status: http.StatusForbidden, code: "ServiceNotAllowed", message: fmt.Sprintf("the account may not use service %q", name), outcome: request.NotRun}
	}
	return ser, nil
}

// ParseDeadline parses the value of HeaderDeadline: more than 0 and at most 1 h.
func ParseDeadline(text string) (time.Duration, error) {
	val, err := time.ParseDuration(text)
	if err != nil {
		return 0, err
	}
	if val <= 0 || val > maxDeadline {
		return 0, fmt.Errorf("want more than 0 and at most %s", maxDeadline)
	}
	return val, nil
}

func deadlineOf(text string, ser resource.Service) (time.Duration, *problem) {
	if text != "" {
		val, err := ParseDeadline(text)
		if err != nil {
			return 0, badRequest(HeaderDeadline, err.Error())
		}
		return val, nil
	}
	if ser.DefaultDeadline > 0 {
		return ser.DefaultDeadline.Std(), nil
	}
	return defaultDeadline, nil
}

func maxBodyOf(ser resource.Service) int64 {
	if ser.MaxBodyBytes > 0 {
		return ser.MaxBodyBytes
	}
	return defaultMaxBodyBytes
}

// maxBodyOfAny returns the largest body size that any service accepts, in bytes. It is
// the limit for a chat completions request, whose service is known only after the body was read.
func maxBodyOfAny(conf resource.Configuration) int64 {
	largest := int64(defaultMaxBodyBytes)
	for _, ser := range conf.Services() {
		largest = max(largest, maxBodyOf(ser))
	}
	return largest
}

// fingerprint returns a hash by which different requests with the same id are detected.
func fingerprint(req *http.Request, account string, body []byte) uint64 {
	hsh := fnv.New64a()
	for _, part := range []string{account, req.Method, req.URL.RequestURI()} {
		_, _ = hsh.Write([]byte(part))
		_, _ = hsh.Write([]byte{0})
	}
	_, _ = hsh.Write(body)
	return hsh.Sum64()
}
