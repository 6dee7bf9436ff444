package request

// Outcome is what a caller is told of whether its request ran.
type Outcome string

// The outcomes of a request that got no whole answer. They stand in the
// Lynxwell-Outcome header.
const (
	// NotRun is said only when no engine got the request or ever will under
	// this id.
	NotRun Outcome = "NotRun"
	// Ran is said when an engine certainly got the request.
	Ran Outcome = "Ran"
	// Unknown is said when it can't be known.
	Unknown Outcome = "Unknown"
)
