package request

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
)

// epochRandomBits are the low bits of an epoch, which tell starts within the
// same millisecond apart; the time is above them.
const epochRandomBits = 22

// NewEpoch returns a number for this process start that is never used again.
func NewEpoch() (Epoch, error) {
	var raw [4]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return 0, errors.Wrap(err, "make epoch")
	}
	low := uint64(binary.BigEndian.Uint32(raw[:])) & (1<<epochRandomBits - 1)
	return Epoch(uint64(time.Now().UnixMilli())<<epochRandomBits | low), nil
}
