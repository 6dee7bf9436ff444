package eventstream

import "math/big"

// ID is the id of an event as its engine sent it, or as a client named it in Last-Event-Id. The empty one is none: by the HTML
// standard an empty id isn't kept, and no client names it.
type ID string

// maxNumberBytes bounds the length of an id that is read as a number.
const maxNumberBytes = 256

// Number returns the id as a whole number of any size; false if it isn't one. Numbers that are written in different ways, such
// as 7 and 007, are equal, but an engine is sent the id that it sent.
func (id ID) Number() (*big.Int, bool) {
	if len(id) > maxNumberBytes {
		return nil, false
	}
	return new(big.Int).SetString(string(id), 10)
}
