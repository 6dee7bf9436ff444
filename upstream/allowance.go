package upstream

import (
	"strconv"
	"sync/atomic"
)

const (
	// freeBytes is what each call may hold of its answer besides its read buffer.
	freeBytes = 16 << 10
	// maxHeldBytes bounds what all calls of a client together hold beyond that.
	maxHeldBytes = 32 << 20
	// heldStep is the step in which calls reserve bytes.
	heldStep = 16 << 10
)

// HeldBytesError reports an answer that isn't read further because the calls of this host hold too much of their answers.
type HeldBytesError struct {
	// Held is what this call held, Limit what all calls may hold, in bytes.
	Held, Limit int64
}

// Error returns both.
func (hbe *HeldBytesError) Error() string {
	return "answer not read further: it holds " + strconv.FormatInt(hbe.Held, 10) + " bytes, and all answers together may hold " + strconv.FormatInt(hbe.Limit, 10)
}

// Allowance is what one call may hold of its answer, out of what all calls of the client may hold. The bytes that engines
// send are thus bounded for the host, whatever they are and however slowly they come. It isn't safe for concurrent use.
type Allowance struct {
	// held is what all calls hold; nil for an allowance without a client.
	held *atomic.Int64
	// reserved is what this call has reserved of it.
	reserved int64
}

// Hold makes the call hold a number of bytes, more or fewer than before. It returns a *HeldBytesError, and changes nothing,
// if all calls would hold too much.
func (alw *Allowance) Hold(count int64) error {
	if alw.held == nil {
		return nil
	}
	needed := max(0, (count-freeBytes+heldStep-1)/heldStep*heldStep)
	if total := alw.held.Add(needed - alw.reserved); needed > alw.reserved && total > maxHeldBytes {
		alw.held.Add(alw.reserved - needed)
		return &HeldBytesError{Held: freeBytes + alw.reserved, Limit: maxHeldBytes}
	}
	alw.reserved = needed
	return nil
}

// Release makes the call hold nothing.
func (alw *Allowance) Release() {
	// Holding less never fails.
	_ = alw.Hold(0)
}
