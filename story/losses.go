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

// Losses counts what became of the requests in the hosts' logs, by how long ago
// they came, their route and their size: where and why answers are lost or late.
//
//	los := story.NewLosses(2 * time.Second)
//	err := los.Read(file)
//	err = los.Write(os.Stdout)
type Losses struct {
	window   time.Duration
	requests []ended
}

// ended is one request that had its final answer.
type ended struct {
	begun   time.Time
	route   string
	outcome string
	// tokens is its size; 0 for a request without a prompt.
	tokens float64
}

// The fields of a request's line that losses are counted by.
const (
	fieldRoute   = "Route"
	fieldCause   = "Cause"
	fieldTimely  = "Timely"
	fieldStatus  = "Status"
	fieldPrompt  = "PromptTokens"
	fieldHint    = "HintTokens"
	messageEnd   = "request"
	outcomeInAim = "InTime"
	// outcomeFailed is an answer that the engine itself gave as a failure.
	outcomeFailed = "EngineFailed"
)

// NewLosses returns an empty count by windows of the given length, of which 0
// stands for 2 s.
func NewLosses(window time.Duration) *Losses {
	const defaultWindow = 2 * time.Second
	return &Losses{window: cmp.Or(window, defaultWindow)}
}

// Read reads one log to its end.
func (los *Losses) Read(log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if lin, known := parseLine(lines.Bytes()); known && lin.text(fieldMessage) == messageEnd {
			los.take(lin)
		}
	}
	return errors.Wrap(lines.Err(), "read log")
}

func (los *Losses) take(lin line) {
	outcome := lin.text(fieldCause)
	if timely := lin.text(fieldTimely); timely != "" {
		outcome = timely
		if lin.number(fieldStatus) >= http.StatusBadRequest {
			outcome = outcomeFailed
		}
	}
	los.requests = append(los.requests, ended{
		begun:   lin.at.Add(-time.Duration(lin.number(fieldTook) * float64(time.Millisecond))),
		route:   lin.text(fieldRoute),
		outcome: outcome,
		tokens:  lin.number(fieldPrompt) + lin.number(fieldHint),
	})
}

// EmptyLogError reports logs without the end of any request.
type EmptyLogError struct{}

// Error says what is missing.
func (*EmptyLogError) Error() string { return "no line tells of a request's end" }

// tally counts requests by their outcome.
type tally map[string]int

// Write writes two tables: by windows of time, and by routes, the largest tenth of
// each by itself.
func (los *Losses) Write(out io.Writer) error {
	if len(los.requests) == 0 {
		return &EmptyLogError{}
	}
	slices.SortStableFunc(los.requests, func(one, two ended) int { return one.begun.Compare(two.begun) })
	if err := los.writeTable(out, "FROM", los.byWindow()); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out); err != nil {
		return err
	}
	return los.writeTable(out, "ROUTE", los.byRoute())
}

func (los *Losses) byWindow() map[string]tally {
	first := los.requests[0].begun
	rows := make(map[string]tally)
	for _, end := range los.requests {
		number := end.begun.Sub(first) / los.window
		count(rows, fmt.Sprintf("%7.1fs", (number*los.window).Seconds()), end)
	}
	return rows
}

// largestShare is the part of a route's requests that is counted by itself.
const largestShare = 0.1

func (los *Losses) byRoute() map[string]tally {
	routes := make(map[string][]ended)
	for _, end := range los.requests {
		routes[end.route] = append(routes[end.route], end)
	}
	rows := make(map[string]tally)
	for name, ends := range routes {
		slices.SortStableFunc(ends, func(one, two ended) int { return cmp.Compare(one.tokens, two.tokens) })
		large := len(ends) - int(largestShare*float64(len(ends)))
		for place, end := range ends {
			row := name
			if place >= large && end.tokens > 0 {
				row += " (largest)"
			}
			count(rows, cmp.Or(row, "(none)"), end)
		}
	}
	return rows
}

func count(rows map[string]tally, row string, end ended) {
	if rows[row] == nil {
		rows[row] = make(tally)
	}
	rows[row][end.outcome]++
}

// writeTable writes the rows, with a column for each outcome: what was in time first,
// then the most usual.
func (los *Losses) writeTable(out io.Writer, title string, rows map[string]tally) error {
	total := make(tally)
	for _, row := range rows {
		for outcome, times := range row {
			total[outcome] += times
		}
	}
	outcomes := slices.SortedFunc(maps.Keys(total), func(one, two string) int {
		switch outcomeInAim {
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
