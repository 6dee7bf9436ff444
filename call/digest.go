package call

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// Digest stands for what a request asks and who asks it: two requests of the same client
// account with the same method, host name, target and body have the same digest, whatever
// their ids and whichever hosts took them. It holds nothing of the body. The zero value
// stands for none.
type Digest [16]byte

// String returns the digest in hexadecimal; empty for none.
func (dig Digest) String() string {
	if dig == (Digest{}) {
		return ""
	}
	return hex.EncodeToString(dig[:])
}

// MarshalText writes the digest as String does.
func (dig Digest) MarshalText() ([]byte, error) {
	return []byte(dig.String()), nil
}

// UnmarshalText reads what MarshalText wrote. It returns a *DigestError for anything else.
func (dig *Digest) UnmarshalText(text []byte) error {
	parsed, err := ParseDigest(string(text))
	if err != nil {
		return err
	}
	*dig = parsed
	return nil
}

// DigestError reports a text that isn't a digest.
type DigestError struct {
	Text string
}

// Error names the text and what is wanted.
func (der *DigestError) Error() string {
	return "digest " + der.Text + ": want 32 hexadecimal digits"
}

// ParseDigest reads what String wrote. It returns a *DigestError for anything else; the
// empty text stands for none.
func ParseDigest(text string) (Digest, error) {
	var dig Digest
	if text == "" {
		return dig, nil
	}
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(dig) {
		return dig, &DigestError{Text: text}
	}
	copy(dig[:], raw)
	return dig, nil
}

// Digest returns the digest of the request as the named client account sends it; the
// account is empty on public routes, whose callers can't be told apart. The body must have
// been read to its end: of a part of it nothing can be said. Half of a SHA-256 is enough
// that no two requests meet by chance or by a caller's search, and costs a microsecond for
// each KB of body beside the six of a decision (BenchmarkDigest).
func (req Request) Digest(account string) Digest {
	sum := sha256.New()
	for _, field := range []string{account, req.Method, req.Host, req.Target} {
		writeField(sum, field)
	}
	// A hash takes any bytes without an error.
	_, _ = sum.Write(req.Body)
	var dig Digest
	copy(dig[:], sum.Sum(nil))
	return dig
}

// writeField writes a text behind its length, so that no two lists of fields are written
// alike.
func writeField(sum hash.Hash, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	// A hash takes any bytes without an error.
	_, _ = sum.Write(length[:])
	_, _ = io.WriteString(sum, field)
}
