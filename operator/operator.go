// Package operator implements the operator API and its client: the declared
// resources, changes to them, the status that the hosts report, and the dump and
// the metrics of a process.
//
// # Usage
//
//	cli := operator.NewClient(operator.ClientConfig{Address: adr, Key: key})
//	res, err := cli.Apply(ctx, set)      // the resources of a file
//	sta, err := cli.Status(ctx)          // the revisions in force on each host
//
// A change carries an id that its writer chooses. If the reply is lost, the writer
// sends the change again under the same id and receives its result; the change
// takes effect at most once.
package operator

import (
	"fmt"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/resource"
)

// The paths of the operator API.
const (
	PathResources = "/v1/resources"
	PathChanges   = "/v1/changes"
	PathStatus    = "/v1/status"
	PathWatch     = "/v1/watch"
	PathDump      = "/v1/dump"
	PathMetrics   = "/v1/metrics"
)

// EntryList is the answer to GET PathResources.
type EntryList struct {
	Revision uint64
	Entries  []resource.Entry
}

// EditBody is the wire form of one edit of a change.
type EditBody struct {
	Kind resource.Kind
	Name string
	// Seen is the revision of the resource that the operator read; 0 if it didn't exist.
	Seen uint64
	// Delete removes the resource instead of writing Spec.
	Delete bool
	Spec   any
}

// ChangeBody is the body of POST PathChanges.
type ChangeBody struct {
	ID    string
	Edits []EditBody
}

// ChangeResult is the result of an accepted change.
type ChangeResult struct {
	// Revision is the revision of a configuration that contains the change.
	Revision uint64
	// Unchanged is set when the configuration already contained the change.
	Unchanged bool
}

// Status is the status of the system, merged from the reports of all hosts.
type Status struct {
	// Revision is the highest revision that any host has in force.
	Revision uint64
	View     uint64
	Hosts    []HostStatus
	// Resources is sorted by kind and name.
	Resources []ResourceStatus
}

// HostStatus is the status of one host.
type HostStatus struct {
	Name     string
	Epoch    request.Epoch
	Domain   string
	Leaving  bool
	Reached  bool
	View     uint64
	Revision uint64
	// Problem describes why the host wasn't reached or isn't ready. Of the hosts that were
	// reached, only the one that answers the request reports whether it is ready; for the
	// others Problem is empty.
	Problem string `json:",omitempty"`
}

// ResourceStatus is the state of one resource across all hosts.
type ResourceStatus struct {
	Kind     resource.Kind
	Name     string
	Revision uint64
	// Observed maps host names to the configuration revision in force there.
	Observed   map[string]uint64
	Conditions []Condition
}

// Condition is one condition of a resource.
type Condition struct {
	// Type is "InForce" or "TakesWork".
	Type   string
	Status bool
	Reason string
}

// ErrorBody is the body of every response whose status isn't 200.
type ErrorBody struct {
	Code     string
	Message  string
	Conflict *ConflictBody `json:",omitempty"`
	Problems []ProblemBody `json:",omitempty"`
}

// ConflictBody names the resource and the fields that another writer has changed.
type ConflictBody struct {
	Kind   resource.Kind
	Name   string
	Seen   uint64
	Newer  uint64
	Fields []string
}

// ProblemBody names a field with an invalid value.
type ProblemBody struct {
	Kind   resource.Kind
	Name   string
	Field  string
	Reason string
}

// The values of ErrorBody.Code.
const (
	CodeUnauthorized = "Unauthorized"
	CodeBadRequest   = "BadRequest"
	CodeNotFound     = "NotFound"
	CodeConflict     = "Conflict"
	CodeNotAccepted  = "NotAccepted"
	CodeNotDecided   = "NotDecided"
	CodePlatform     = "PlatformNotAvailable"
)

// AnswerError reports a response whose status isn't 200.
type AnswerError struct {
	Status int
	Body   ErrorBody
}

// Error returns the code and the message of the response.
func (aer *AnswerError) Error() string {
	return fmt.Sprintf("%s: %s", aer.Body.Code, aer.Body.Message)
}

// NotDecidedError reports a change for which it is unknown whether it took effect.
// Sending it again under the same id gives the result.
type NotDecidedError struct {
	ChangeID string
	Cause    error
}

func (ner *NotDecidedError) Error() string {
	return fmt.Sprintf("change %s: it isn't known whether it took effect; ask again under the same id: %v", ner.ChangeID, ner.Cause)
}

func (ner *NotDecidedError) Unwrap() error {
	return ner.Cause
}
