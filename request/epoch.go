package request

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
)

// epochRandomBits is the number of random low bits of an epoch, which distinguish process
// starts in the same millisecond. The bits above them are the time in milliseconds.
const epochRandomBits = 22

// NewEpoch returns a unique epoch for this process start.
func NewEpoch() (Epoch, error) {
	var raw [4]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return 0, errors.Wrap(err, "read random bits of the epoch")
	}
	low := uint64(binary.BigEndian.Uint32(raw[:])) & (1<<epochRandomBits - 1)
	return Epoch(uint64(time.Now().UnixMilli())<<epochRandomBits | low), nil
}
