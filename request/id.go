// Package request holds the identity of a request and what may be told about it.
//
// # Usage
//
// A caller builds an id from the prefix that the addresses answer carries for
// an address, and a part of its own:
//
//	id := request.ID{Prefix: prefix, Unique: "tray-4711"}
//	header.Set("Idempotency-Key", id.String())
//
// The prefix names the view, the gateway epoch and the window, so the id itself
// says which gateway decides it and which hosts may grant it.
package request

import (
	"fmt"
	"strconv"
	"strings"
)

// MaxUniqueLen is the longest unique part that is taken, in bytes.
const MaxUniqueLen = 64

// Epoch numbers one start of one host's process; it is never used again.
type Epoch uint64

// String returns the epoch as sixteen hexadecimal digits.
func (epo Epoch) String() string {
	return fmt.Sprintf("%016x", uint64(epo))
}

// ParseEpoch reads an epoch written by String.
func ParseEpoch(text string) (Epoch, error) {
	if len(text) != 16 || strings.ToLower(text) != text {
		return 0, &IDError{Text: text, Part: "epoch", Reason: "want sixteen lower-case hexadecimal digits"}
	}
	val, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, &IDError{Text: text, Part: "epoch", Reason: "want sixteen lower-case hexadecimal digits"}
	}
	return Epoch(val), nil
}

// MarshalText writes the epoch as String does.
func (epo Epoch) MarshalText() ([]byte, error) {
	return []byte(epo.String()), nil
}

// UnmarshalText reads what MarshalText wrote.
func (epo *Epoch) UnmarshalText(text []byte) error {
	val, err := ParseEpoch(string(text))
	if err != nil {
		return err
	}
	*epo = val
	return nil
}

// Prefix is the part of an id that the system hands out.
type Prefix struct {
	// View numbers the membership view that fixes who may grant the request.
	View uint64
	// Epoch is the gateway epoch that decides the request.
	Epoch Epoch
	// Window numbers the gateway's time window; it bounds what it must remember.
	Window uint64
}

// String returns the prefix as it stands in an id, without the last hyphen.
func (pre Prefix) String() string {
	return strconv.FormatUint(pre.View, 10) + "-" + pre.Epoch.String() + "-" + strconv.FormatUint(pre.Window, 10)
}

// ID is the whole identity of a request; it is comparable.
type ID struct {
	Prefix
	// Unique is the caller's own part.
	Unique string
}

// String returns the id as it stands in the Idempotency-Key header.
func (id ID) String() string {
	return id.Prefix.String() + "-" + id.Unique
}

// MarshalText writes the id as String does.
func (id ID) MarshalText() ([]byte, error) {
	return []byte(id.String()), nil
}

// UnmarshalText reads what MarshalText wrote.
func (id *ID) UnmarshalText(text []byte) error {
	val, err := ParseID(string(text))
	if err != nil {
		return err
	}
	*id = val
	return nil
}

// IDError reports an id or a part of one that can't be read.
type IDError struct {
	// Text is what was given.
	Text string
	// Part names the part: "id", "view", "epoch", "window" or "unique part".
	Part string
	// Reason says what was expected.
	Reason string
}

// Error returns the part, the text and the reason.
func (ier *IDError) Error() string {
	return fmt.Sprintf("request id: %s %q: %s", ier.Part, ier.Text, ier.Reason)
}

// ParseID reads an id; it returns an *IDError for anything that String can't
// have written.
func ParseID(text string) (ID, error) {
	parts := strings.SplitN(text, "-", 4)
	if len(parts) != 4 {
		return ID{}, &IDError{Text: text, Part: "id", Reason: "want VIEW-EPOCH-WINDOW-UNIQUE, with a prefix from GET /v1/addresses"}
	}
	view, err := parseNumber(parts[0], "view")
	if err != nil {
		return ID{}, err
	}
	epoch, err := ParseEpoch(parts[1])
	if err != nil {
		return ID{}, err
	}
	window, err := parseNumber(parts[2], "window")
	if err != nil {
		return ID{}, err
	}
	if err := checkUnique(parts[3]); err != nil {
		return ID{}, err
	}
	return ID{Prefix: Prefix{View: view, Epoch: epoch, Window: window}, Unique: parts[3]}, nil
}

func parseNumber(text, part string) (uint64, error) {
	val, err := strconv.ParseUint(text, 10, 64)
	if err != nil || strconv.FormatUint(val, 10) != text {
		return 0, &IDError{Text: text, Part: part, Reason: "want a plain decimal number"}
	}
	return val, nil
}

func checkUnique(text string) error {
	if text == "" || len(text) > MaxUniqueLen {
		return &IDError{Text: text, Part: "unique part", Reason: fmt.Sprintf("want 1 to %d bytes", MaxUniqueLen)}
	}
	for _, chr := range text {
		if !isUniqueChar(chr) {
			return &IDError{Text: text, Part: "unique part", Reason: "want letters, digits, '.', '_', ':' or '-'"}
		}
	}
	return nil
}

func isUniqueChar(chr rune) bool {
	switch {
	case chr >= 'a' && chr <= 'z', chr >= 'A' && chr <= 'Z', chr >= '0' && chr <= '9':
		return true
	default:
		return strings.ContainsRune("._:-", chr)
	}
}
