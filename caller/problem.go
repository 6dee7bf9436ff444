package caller

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/request"
)

// problem is an error answer in OpenAI's format.
type problem struct {
	status     int
	code       string
	message    string
	field      string
	outcome    request.Outcome
	retry      bool
	retryAfter time.Duration
}

// ErrorBody is the body of every error answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the OpenAI error object, with the outcome added.
type ErrorDetail struct {
	Message string          `json:"message"`
	Type    string          `json:"type"`
	Param   *string         `json:"param"`
	Code    string          `json:"code"`
	Outcome request.Outcome `json:"lynxwell_outcome,omitempty"`
}

func badRequest(field, reason string) *problem {
	return &problem{status: http.StatusBadRequest, code: "BadRequest", message: field + ": " + reason, field: field}
}

func (pro problem) body() ErrorBody {
	det := ErrorDetail{Message: pro.message, Type: errorType(pro.status), Code: pro.code, Outcome: pro.outcome}
	if pro.field != "" {
		det.Param = &pro.field
	}
	return ErrorBody{Error: det}
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

func sendProblem(wri http.ResponseWriter, pro problem) {
	if pro.outcome != "" {
		wri.Header().Set(HeaderOutcome, string(pro.outcome))
	}
	if pro.retry {
		wri.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(pro.retryAfter.Seconds()))))
	}
	sendJSON(wri, pro.status, pro.body())
}

// finalAnswers maps the cause of each final answer to the answer's status and message.
var finalAnswers = map[gateway.Cause]struct {
	status  int
	message string
}{
	gateway.CauseShed:            {http.StatusServiceUnavailable, "the service is full; nothing less urgent waits in it"},
	gateway.CauseExpired:         {http.StatusGatewayTimeout, "the deadline can't be met any more"},
	gateway.CauseAccountRate:     {http.StatusTooManyRequests, "the client account is over its rate"},
	gateway.CauseAccountInFlight: {http.StatusTooManyRequests, "the client account has too many requests in flight"},
	gateway.CauseNoCoordinator:   {http.StatusServiceUnavailable, "no host that this one reaches has engines of the service"},
	gateway.CauseDraining:        {http.StatusServiceUnavailable, "this host is leaving; ask for the addresses again"},
	gateway.CauseClientLeft:      {http.StatusServiceUnavailable, "the caller left before the request was started"},
	gateway.CausePrefixRetired:   {http.StatusServiceUnavailable, "the id's prefix is no longer served; ask for the addresses again and send under a new id"},
	gateway.CauseTooOld:          {http.StatusGone, "the id is older than what is remembered"},
	gateway.CausePrefixNotIssued: {http.StatusBadRequest, "the id's prefix was never handed out; take one from GET /v1/addresses"},
	gateway.CauseIDReused:        {http.StatusUnprocessableEntity, "the id was used for another request"},
	gateway.CauseUndecided:       {http.StatusServiceUnavailable, "it can't be known now whether the request ran; repeat it under the same id"},
	gateway.CauseEngineFailed:    {http.StatusBadGateway, "the engine broke off"},
	gateway.CauseAnswerExpired:   {http.StatusGone, "the request ran, but its answer is no longer kept"},
	gateway.CauseMoved:           {http.StatusServiceUnavailable, "another host has taken the request over; repeat it under the same id"},
}

func problemOf(fin gateway.Final) problem {
	ans := finalAnswers[fin.Cause]
	return problem{
		status: ans.status, code: string(fin.Cause), message: ans.message,
		outcome: fin.Outcome, retry: fin.Retry, retryAfter: fin.RetryAfter,
	}
}
