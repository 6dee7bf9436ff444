// Package request defines the identity of a request and the outcomes reported for it.
//
// # Usage
//
// A client builds an id from the prefix that GET /v1/addresses returns for an address, and a
// unique part of its own:
//
//	id := request.ID{Prefix: prefix, Unique: "tray-4711"}
//	header.Set("Idempotency-Key", id.String())
//
// The prefix holds the view, the gateway epoch and the window, so that the id determines which
// gateway decides the outcome of the request and which hosts may grant it.
package request

import (
	"fmt"
	"strconv"
	"strings"
)

// MaxUniqueLen is the maximum length of the unique part, in bytes.
const MaxUniqueLen = 64

// Epoch identifies one start of one host's process. It is never reused.
type Epoch uint64

// String returns the epoch as sixteen hexadecimal digits.
func (epo Epoch) String() string {
	return fmt.Sprintf("%016x", uint64(epo))
}

// ParseEpoch parses the form of String. The error is an *IDError.
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

// MarshalText encodes the epoch in the form of String.
func (epo Epoch) MarshalText() ([]byte, error) {
	return []byte(epo.String()), nil
}

// UnmarshalText decodes the form of MarshalText. The error is an *IDError.
func (epo *Epoch) UnmarshalText(text []byte) error {
	val, err := ParseEpoch(string(text))
	if err != nil {
		return err
	}
	*epo = val
	return nil
}

// Prefix is the part of an id that the system assigns.
type Prefix struct {
	// View is the number of the membership view, which determines the hosts that may grant the
	// request.
	View uint64
	// Epoch is the epoch of the gateway that decides the outcome of the request.
	Epoch Epoch
	// Window is the number of the gateway's time window. It bounds the number of ids that the
	// gateway has to keep.
	Window uint64
}

// String returns the prefix in the form that it has in an id, without the final hyphen.
func (pre Prefix) String() string {
	return strconv.FormatUint(pre.View, 10) + "-" + pre.Epoch.String() + "-" + strconv.FormatUint(pre.Window, 10)
}

// ID is the complete identity of a request. Values are comparable.
type ID struct {
	Prefix
	// Unique is the part that the client chooses, of 1 to MaxUniqueLen bytes.
	Unique string
}

// String returns the id in the form of the Idempotency-Key header.
func (id ID) String() string {
	return id.Prefix.String() + "-" + id.Unique
}

// MarshalText encodes the id in the form of String.
func (id ID) MarshalText() ([]byte, error) {
	return []byte(id.String()), nil
}

// UnmarshalText decodes the form of MarshalText. The error is an *IDError.
func (id *ID) UnmarshalText(text []byte) error {
	val, err := ParseID(string(text))
	if err != nil {
		return err
	}
	*id = val
	return nil
}

// IDError reports an invalid id, or an invalid part of one.
type IDError struct {
	// Text is the text that was parsed.
	Text string
	// Part is the invalid part: "id", "view", "epoch", "window" or "unique part".
	Part string
	// Reason is what was expected.
	Reason string
}

// Error returns the part, the text and the reason.
func (ier *IDError) Error() string {
	return fmt.Sprintf("request id: %s %q: %s", ier.Part, ier.Text, ier.Reason)
}

// ParseID parses the form of ID.String. The error is an *IDError.
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
