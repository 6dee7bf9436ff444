package transport

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// minStatus and maxStatus bound the valid status codes (RFC 9110, 15).
	minStatus = 100
	maxStatus = 599
	// tokenMarks are the characters of a field name besides letters and digits (RFC 9110, 5.6.2).
	tokenMarks = "!#$%&'*+-.^_`|~"
)

// MalformedHeadError reports the head of an answer that net/http accepts and that is none of HTTP/1. What follows it can't
// be told apart from further answers.
type MalformedHeadError struct {
	// Part is the part of the head: "version", "status" or "field name".
	Part  string
	Value string
}

// Error names the part.
func (mhe *MalformedHeadError) Error() string {
	return "malformed head of an answer: " + mhe.Part + " " + strconv.Quote(mhe.Value)
}

// CheckHead returns a *MalformedHeadError if an answer's head has a version other than HTTP/1, a status that is no valid
// one or switches protocols, which no caller asks for, or a field whose name is no token: a blank in it or behind it hides a
// field that the answer's sender relies on, such as its length (RFC 9112, 5.1).
func CheckHead(rep *http.Response) error {
	if rep.ProtoMajor != 1 {
		return &MalformedHeadError{Part: "version", Value: rep.Proto}
	}
	if rep.StatusCode < minStatus || rep.StatusCode > maxStatus || rep.StatusCode == http.StatusSwitchingProtocols {
		return &MalformedHeadError{Part: "status", Value: rep.Status}
	}
	for name := range rep.Header {
		if !isToken(name) {
			return &MalformedHeadError{Part: "field name", Value: name}
		}
	}
	return nil
}

func isToken(name string) bool {
	for _, chr := range []byte(name) {
		isAlphanumeric := 'a' <= chr && chr <= 'z' || 'A' <= chr && chr <= 'Z' || '0' <= chr && chr <= '9'
		if !isAlphanumeric && strings.IndexByte(tokenMarks, chr) < 0 {
			return false
		}
	}
	return name != ""
}

// Checked returns a RoundTripper that fails calls whose answers CheckHead refuses.
func Checked(next http.RoundTripper) http.RoundTripper { return checked{next: next} }

type checked struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (che checked) RoundTrip(req *http.Request) (*http.Response, error) {
	rep, err := che.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(rep); err != nil {
		return nil, errors.CombineErrors(err, rep.Body.Close())
	}
	return rep, nil
}

// CloseIdleConnections closes the idle connections, for http.Client.
func (che checked) CloseIdleConnections() {
	if closer, closes := che.next.(interface{ CloseIdleConnections() }); closes {
		closer.CloseIdleConnections()
	}
}
