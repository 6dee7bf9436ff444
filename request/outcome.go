package request

// Outcome reports to a client whether its request ran.
type Outcome string

// The outcomes of a request without a complete answer, as sent in the Lynxwell-Outcome header.
const (
	// NotRun means that no engine has received the request, and none ever will under this id.
	NotRun Outcome = "NotRun"
	// Ran means that an engine has certainly received the request.
	Ran Outcome = "Ran"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "Unknown"
)
