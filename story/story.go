// Package story reads the hosts' logs and reconstructs what happened to one
// request: the request's own lines on every host, and the changes of state that
// its hosts logged shortly before and while the request was in progress. It also
// counts the outcomes of all requests (see Losses).
//
// # Usage
//
//	tli := story.NewTimeline("9c41d07be2a35f68")
//	err := tli.Read(file)
//	err = tli.Write(os.Stdout)
//
// A log line may have any text in front of its JSON object, such as a time or
// the name of a host.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// The log fields that the package reads.
const (
	fieldRequest = "Request"
	fieldEngine  = "Engine"
	fieldHost    = "Host"
	fieldTime    = "time"
	fieldMessage = "message"
	fieldLevel   = "level"
	fieldTook    = "Took"
)

// lookback is how far before a request's start lines without a request are included,
// because a host may act on information that is some seconds old.
const lookback = 5 * time.Second

// line is one parsed log line.
type line struct {
	at     time.Time
	fields map[string]any
}

func (lin line) text(field string) string {
	text, isText := lin.fields[field].(string)
	if !isText {
		return ""
	}
	return text
}

// Timeline collects the log lines that concern one request.
type Timeline struct {
	id           string
	requestLines []line
	otherLines   []line
	linesRead    int
}

// NewTimeline returns an empty timeline of the request with the given id.
func NewTimeline(id string) *Timeline {
	return &Timeline{id: id}
}

// NotFoundError reports a request that no log line mentions.
type NotFoundError struct {
	ID string
	// Lines is the number of log lines read.
	Lines int
}

func (nfe *NotFoundError) Error() string {
	return fmt.Sprintf("none of %d log lines mentions request %s", nfe.Lines, nfe.ID)
}

// Read reads one log to its end.
func (tli *Timeline) Read(log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		tli.add(lines.Bytes())
	}
	return errors.Wrap(lines.Err(), "read log")
}

func (tli *Timeline) add(raw []byte) {
	lin, valid := parseLine(raw)
	if !valid {
		return
	}
	tli.linesRead++
	switch lin.text(fieldRequest) {
	case tli.id:
		tli.requestLines = append(tli.requestLines, lin)
	case "":
		tli.otherLines = append(tli.otherLines, lin)
	}
}

// parseLine parses one log line; it returns false for a line without a JSON object
// or a valid time.
func parseLine(raw []byte) (line, bool) {
	var lin line
	begin := bytes.IndexByte(raw, '{')
	if begin < 0 || json.Unmarshal(raw[begin:], &lin.fields) != nil {
		return line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, lin.text(fieldTime))
	if err != nil {
		return line{}, false
	}
	lin.at = at
	return lin, true
}

// number returns a field's number; 0 if the field is absent or not a number.
func (lin line) number(field string) float64 {
	number, isNumber := lin.fields[field].(float64)
	if !isNumber {
		return 0
	}
	return number
}

// Write writes the collected lines in order of time and marks the request's own lines
// with an asterisk. It returns a *NotFoundError if no line mentions the request.
func (tli *Timeline) Write(out io.Writer) error {
	if len(tli.requestLines) == 0 {
		return &NotFoundError{ID: tli.id, Lines: tli.linesRead}
	}
	lines := append(slices.Clone(tli.requestLines), tli.surroundingLines()...)
	slices.SortStableFunc(lines, func(one, two line) int { return one.at.Compare(two.at) })
	for _, lin := range lines {
		mark := " "
		if lin.text(fieldRequest) == tli.id {
			mark = "*"
		}
		if _, err := fmt.Fprintf(out, "%s %s  %-18s %s%s\n", mark, lin.at.Format("15:04:05.000"), lin.text(fieldHost), lin.text(fieldMessage), lin.details()); err != nil {
			return err
		}
	}
	return nil
}

// surroundingLines returns the lines that name no request and that the request's
// hosts logged between lookback before its start and its last line. Lines that name
// an engine are included only if the request's lines name it too.
func (tli *Timeline) surroundingLines() []line {
	hosts, engines := make(map[string]bool), make(map[string]bool)
	first, last := tli.requestLines[0].at, tli.requestLines[0].at
	for _, lin := range tli.requestLines {
		hosts[lin.text(fieldHost)] = true
		engines[lin.text(fieldEngine)] = true
		took, _ := lin.fields[fieldTook].(float64)
		begin := lin.at.Add(-time.Duration(took * float64(time.Millisecond)))
		if begin.Before(first) {
			first = begin
		}
		if lin.at.After(last) {
			last = lin.at
		}
	}
	var lines []line
	for _, lin := range tli.otherLines {
		engine := lin.text(fieldEngine)
		inRange := !lin.at.Before(first.Add(-lookback)) && !lin.at.After(last)
		if inRange && ((engine == "" && hosts[lin.text(fieldHost)]) || (engine != "" && engines[engine] && hosts[lin.text(fieldHost)])) {
			lines = append(lines, lin)
		}
	}
	return lines
}

// details returns the remaining fields, sorted by name.
func (lin line) details() string {
	var names []string
	for name := range lin.fields {
		switch name {
		case fieldHost, fieldTime, fieldMessage, fieldLevel, fieldRequest:
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var text strings.Builder
	for _, name := range names {
		fmt.Fprintf(&text, " %s=%v", name, lin.fields[name])
	}
	return text.String()
}
