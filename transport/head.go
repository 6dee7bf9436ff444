package transport

import (
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// minStatus and maxStatus bound the valid status codes (RFC 9110, 15).
	minStatus = 100
	maxStatus = 599
)

// MalformedHeadError reports the head of an answer that net/http accepts and that is none of HTTP/1. What follows it can't
// be told apart from further answers.
type MalformedHeadError struct {
	// Part is the part of the head: "version" or "status".
	Part  string
	Value string
}

// Error names the part.
func (mhe *MalformedHeadError) Error() string {
	return "malformed head of an answer: " + mhe.Part + " " + strconv.Quote(mhe.Value)
}

// CheckHead returns a *MalformedHeadError if an answer's head has a version other than HTTP/1, or a status that is no valid
// one or switches protocols, which no caller asks for.
func CheckHead(rep *http.Response) error {
	if rep.ProtoMajor != 1 {
		return &MalformedHeadError{Part: "version", Value: rep.Proto}
	}
	if rep.StatusCode < minStatus || rep.StatusCode > maxStatus || rep.StatusCode == http.StatusSwitchingProtocols {
		return &MalformedHeadError{Part: "status", Value: rep.Status}
	}
	return nil
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
