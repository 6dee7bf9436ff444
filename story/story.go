// Package story reads the hosts' logs and tells what happened to one request:
// its own lines on every host, and what the hosts came to believe meanwhile.
//
// # Usage
//
//	tel := story.NewTeller("9c41d07be2a35f68")
//	err := tel.Read(file)
//	err = tel.Write(os.Stdout)
//
// A line of a log may have anything before its JSON object, as a time or the
// name of a host.
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

// The fields of a line that the story goes by.
const (
	fieldRequest = "Request"
	fieldEngine  = "Engine"
	fieldHost    = "Host"
	fieldTime    = "time"
	fieldMessage = "message"
	fieldLevel   = "level"
	fieldTook    = "Took"
)

// before is how long before a request's first sign other lines are told: what a
// host acted on may be some seconds old.
const before = 5 * time.Second

// line is one line of a log.
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

// Teller collects the lines of one request's story.
type Teller struct {
	id    string
	own   []line
	other []line
	read  int
}

// NewTeller returns a teller of the request's story.
func NewTeller(id string) *Teller {
	return &Teller{id: id}
}

// NotFoundError reports a request of which no log says anything.
type NotFoundError struct {
	ID string
	// Lines is how many lines were read.
	Lines int
}

// Error names the id.
func (nfe *NotFoundError) Error() string {
	return fmt.Sprintf("no line of %d tells of request %s", nfe.Lines, nfe.ID)
}

// Read reads one log to its end.
func (tel *Teller) Read(log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		tel.take(lines.Bytes())
	}
	return errors.Wrap(lines.Err(), "read log")
}

func (tel *Teller) take(raw []byte) {
	lin, known := parseLine(raw)
	if !known {
		return
	}
	tel.read++
	switch lin.text(fieldRequest) {
	case tel.id:
		tel.own = append(tel.own, lin)
	case "":
		tel.other = append(tel.other, lin)
	}
}

// parseLine reads one line of a log; what isn't a host's line isn't known.
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

// number returns a field's number; 0 where it has none.
func (lin line) number(field string) float64 {
	number, isNumber := lin.fields[field].(float64)
	if !isNumber {
		return 0
	}
	return number
}

// Write writes the story, in the order of time.
func (tel *Teller) Write(out io.Writer) error {
	if len(tel.own) == 0 {
		return &NotFoundError{ID: tel.id, Lines: tel.read}
	}
	lines := append(slices.Clone(tel.own), tel.around()...)
	slices.SortStableFunc(lines, func(one, two line) int { return one.at.Compare(two.at) })
	for _, lin := range lines {
		mark := " "
		if lin.text(fieldRequest) == tel.id {
			mark = "*"
		}
		if _, err := fmt.Fprintf(out, "%s %s  %-18s %s%s\n", mark, lin.at.Format("15:04:05.000"), lin.text(fieldHost), lin.text(fieldMessage), lin.details()); err != nil {
			return err
		}
	}
	return nil
}

// around returns what the request's hosts came to believe meanwhile, and what
// any host learned of its engines.
func (tel *Teller) around() []line {
	hosts, engines := make(map[string]bool), make(map[string]bool)
	first, last := tel.own[0].at, tel.own[0].at
	for _, lin := range tel.own {
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
	for _, lin := range tel.other {
		engine := lin.text(fieldEngine)
		near := !lin.at.Before(first.Add(-before)) && !lin.at.After(last)
		if near && ((engine == "" && hosts[lin.text(fieldHost)]) || (engine != "" && engines[engine] && hosts[lin.text(fieldHost)])) {
			lines = append(lines, lin)
		}
	}
	return lines
}

// details returns the other fields, sorted by their names.
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
