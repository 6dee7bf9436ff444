// Package operator is the interface for operators: the declared resources, the
// changes to them, the status that hosts report, and the dump of a process.
//
// # Usage
//
//	cli := operator.NewClient(operator.ClientConfig{Address: adr, Key: key})
//	rev, err := cli.Apply(ctx, set)      // a file of resources
//	sta, err := cli.Status(ctx)          // what is in force where
//
// A change carries an id of its writer's choice, so that a writer whose reply
// was lost asks again under the same id and learns whether it took effect.
package operator

import (
	"fmt"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/resource"
)

// The paths of the operators' interface.
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

// EditBody is one edit of a change as it travels.
type EditBody struct {
	Kind resource.Kind
	Name string
	// Seen is the resource's revision that the operator saw; 0 for none.
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

// ChangeResult says in which revision a change is in the configuration.
type ChangeResult struct {
	Revision uint64
	// Unchanged is set when the configuration was so already.
	Unchanged bool
}

// Status is what the hosts report.
type Status struct {
	// Revision is the highest revision that any host has in force.
	Revision uint64
	View     uint64
	Hosts    []HostStatus
	// Resources is sorted by kind and name.
	Resources []ResourceStatus
}

// HostStatus is what one host reports.
type HostStatus struct {
	Name     string
	Epoch    request.Epoch
	Domain   string
	Leaving  bool
	Reached  bool
	View     uint64
	Revision uint64
	// Problem says why the host isn't ready; empty when it is.
	Problem string `json:",omitempty"`
}

// ResourceStatus is the state of one resource over all hosts.
type ResourceStatus struct {
	Kind     resource.Kind
	Name     string
	Revision uint64
	// Observed is the configuration revision that each host has in force.
	Observed   map[string]uint64
	Conditions []Condition
}

// Condition is one statement about a resource.
type Condition struct {
	// Type names the statement: "InForce" or "TakesWork".
	Type   string
	Status bool
	Reason string
}

// ErrorBody is the body of every answer that isn't 200.
type ErrorBody struct {
	Code     string
	Message  string
	Conflict *ConflictBody `json:",omitempty"`
	Problems []ProblemBody `json:",omitempty"`
}

// ConflictBody names what another writer has changed.
type ConflictBody struct {
	Kind   resource.Kind
	Name   string
	Seen   uint64
	Newer  uint64
	Fields []string
}

// ProblemBody names a field that can't be accepted.
type ProblemBody struct {
	Kind   resource.Kind
	Name   string
	Field  string
	Reason string
}

// The codes of ErrorBody.
const (
	CodeUnauthorized = "Unauthorized"
	CodeBadRequest   = "BadRequest"
	CodeNotFound     = "NotFound"
	CodeConflict     = "Conflict"
	CodeNotAccepted  = "NotAccepted"
	CodeNotDecided   = "NotDecided"
	CodePlatform     = "PlatformNotAvailable"
)

// AnswerError reports an answer other than 200.
type AnswerError struct {
	Status int
	Body   ErrorBody
}

// Error returns the message of the answer.
func (aer *AnswerError) Error() string {
	return fmt.Sprintf("%s: %s", aer.Body.Code, aer.Body.Message)
}

// NotDecidedError reports a change of which isn't known whether it took effect.
// Asking again under the same id settles it.
type NotDecidedError struct {
	ChangeID string
	Cause    error
}

// Error names the change.
func (ner *NotDecidedError) Error() string {
	return fmt.Sprintf("change %s: it isn't known whether it took effect; ask again under the same id: %v", ner.ChangeID, ner.Cause)
}

// Unwrap returns the cause.
func (ner *NotDecidedError) Unwrap() error {
	return ner.Cause
}
