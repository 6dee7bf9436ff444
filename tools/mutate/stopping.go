package main

// stopping selects the tests of requests that run while their host stops.
var stopping = []string{"./entry", "-run", "LateInStop|OutlastsStop|WaitsInStop"}

// stoppingMutations remove what keeps a host that stops from cutting requests.
var stoppingMutations = []mutation{
	{
		"Stopping: no request is sent whose answer the host might not wait for", "entry/stopping.go",
		"	if stp == nil || now.Before(stp.acceptsUntil) || deadline.Before(stp.endsAt) {", "	if true {", stopping,
	},
	{
		"Stopping: requests with a deadline before the end are served", "entry/stopping.go",
		" || deadline.Before(stp.endsAt) {", " {", stopping,
	},
	{
		"Stopping: requests that run at the end get a final answer", "entry/stopping.go",
		"	hos.endRequests(&StoppingError{})\n", "", stopping,
	},
	{
		"Stopping: requests that wait for an engine are refused in time", "entry/stopping.go",
		"			cancel(err)\n", "", stopping,
	},
}
