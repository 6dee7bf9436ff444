package story

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// Losses counts the outcomes of the requests in the hosts' logs by arrival time,
// route and size. It shows where and why answers are lost or late.
//
//	los := story.NewLosses(2 * time.Second)
//	err := los.Read(file)
//	err = los.Write(os.Stdout)
type Losses struct {
	window   time.Duration
	requests []finishedRequest
}

// finishedRequest is one request whose final answer was logged.
type finishedRequest struct {
	start   time.Time
	route   string
	outcome string
	// tokens is the size of the request; 0 for a request without a prompt.
	tokens float64
}

// The fields, messages and outcomes of the log lines that Losses reads.
const (
	fieldRoute     = "Route"
	fieldCause     = "Cause"
	fieldTimely    = "Timely"
	fieldStatus    = "Status"
	fieldPrompt    = "PromptTokens"
	fieldHint      = "HintTokens"
	messageRequest = "request"
	outcomeInTime  = "InTime"
	// outcomeFailed is an error answer that came from the engine itself.
	outcomeFailed = "EngineFailed"
)

// NewLosses returns an empty count with time windows of the given length; 0
// selects 2 s.
func NewLosses(window time.Duration) *Losses {
	const defaultWindow = 2 * time.Second
	return &Losses{window: cmp.Or(window, defaultWindow)}
}

// Read reads one log to its end and counts the requests that finished in it.
func (los *Losses) Read(log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if lin, valid := parseLine(lines.Bytes()); valid && lin.text(fieldMessage) == messageRequest {
			los.add(lin)
		}
	}
	return errors.Wrap(lines.Err(), "read log")
}

func (los *Losses) add(lin line) {
	outcome := lin.text(fieldCause)
	if timely := lin.text(fieldTimely); timely != "" {
		outcome = timely
		if lin.number(fieldStatus) >= http.StatusBadRequest {
			outcome = outcomeFailed
		}
	}
	los.requests = append(los.requests, finishedRequest{
		start:   lin.at.Add(-time.Duration(lin.number(fieldTook) * float64(time.Millisecond))),
		route:   lin.text(fieldRoute),
		outcome: outcome,
		tokens:  lin.number(fieldPrompt) + lin.number(fieldHint),
	})
}

// EmptyLogError reports logs in which no request finished.
type EmptyLogError struct{}

func (*EmptyLogError) Error() string {
	return "no log line with the message \"request\": no finished request to count"
}

// tally counts requests by outcome.
type tally map[string]int

// Write writes two tables: outcomes by time window, and outcomes by route, with
// the largest tenth of each route's requests in a row of its own. It returns an
// *EmptyLogError if no request was counted.
func (los *Losses) Write(out io.Writer) error {
	if len(los.requests) == 0 {
		return &EmptyLogError{}
	}
	slices.SortStableFunc(los.requests, func(one, two finishedRequest) int { return one.start.Compare(two.start) })
	if err := los.writeTable(out, "FROM", los.byWindow()); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out); err != nil {
		return err
	}
	return los.writeTable(out, "ROUTE", los.byRoute())
}

func (los *Losses) byWindow() map[string]tally {
	first := los.requests[0].start
	rows := make(map[string]tally)
	for _, req := range los.requests {
		windows := req.start.Sub(first) / los.window
		count(rows, fmt.Sprintf("%7.1fs", (windows*los.window).Seconds()), req)
	}
	return rows
}

// largestShare is the fraction of a route's requests, by size, that gets its own row.
const largestShare = 0.1

func (los *Losses) byRoute() map[string]tally {
	routes := make(map[string][]finishedRequest)
	for _, req := range los.requests {
		routes[req.route] = append(routes[req.route], req)
	}
	rows := make(map[string]tally)
	for name, requests := range routes {
		slices.SortStableFunc(requests, func(one, two finishedRequest) int { return cmp.Compare(one.tokens, two.tokens) })
		firstLarge := len(requests) - int(largestShare*float64(len(requests)))
		for idx, req := range requests {
			row := name
			if idx >= firstLarge && req.tokens > 0 {
				row += " (largest)"
			}
			count(rows, cmp.Or(row, "(none)"), req)
		}
	}
	return rows
}

func count(rows map[string]tally, row string, req finishedRequest) {
	if rows[row] == nil {
		rows[row] = make(tally)
	}
	rows[row][req.outcome]++
}

// writeTable writes the rows with one column per outcome: InTime first, then the
// others in descending order of frequency.
func (los *Losses) writeTable(out io.Writer, title string, rows map[string]tally) error {
	total := make(tally)
	for _, row := range rows {
		for outcome, times := range row {
			total[outcome] += times
		}
	}
	outcomes := slices.SortedFunc(maps.Keys(total), func(one, two string) int {
		switch outcomeInTime {
		case one:
			return -1
		case two:
			return 1
		}
		return cmp.Or(cmp.Compare(total[two], total[one]), cmp.Compare(one, two))
	})
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(tab, title, "\tREQUESTS")
	for _, outcome := range outcomes {
		fmt.Fprint(tab, "\t", outcome)
	}
	fmt.Fprintln(tab, "\t")
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		all := 0
		for _, times := range rows[name] {
			all += times
		}
		fmt.Fprint(tab, name, "\t", all)
		for _, outcome := range outcomes {
			fmt.Fprint(tab, "\t", rows[name][outcome])
		}
		fmt.Fprintln(tab, "\t")
	}
	return tab.Flush()
}
