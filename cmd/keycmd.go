package cmd

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"lynxwell.dev/lynxwell/resource"
)

// keyLen is the number of random bytes in a new key.
const keyLen = 24

// keyCmd implements the key command, which generates a client account's key or prints the digest of one.
type keyCmd struct {
	sub  *flaggy.Subcommand
	opts keyOptions
}

// keyOptions holds the options of the key command.
type keyOptions struct {
	digest bool
}

func newKeyCmd() *keyCmd {
	com := &keyCmd{sub: newSubcommand("key", "generate a client account's key and its digest", "    lynxwell key\n    lynxwell key --digest < key-file")}
	com.sub.Bool(&com.opts.digest, "d", "digest", "print the digest of the key on standard input")
	return com
}

func (com *keyCmd) subcommand() *flaggy.Subcommand { return com.sub }

func (com *keyCmd) run(_ context.Context, str streams) error {
	if com.opts.digest {
		data, err := io.ReadAll(str.in)
		if err != nil {
			return errors.Wrap(err, "read key")
		}
		fmt.Fprintln(str.out, resource.Digest([]byte(strings.TrimRight(string(data), "\r\n"))))
		return nil
	}
	var raw [keyLen]byte
	// crypto/rand's Read never fails.
	_, _ = rand.Read(raw[:])
	key := hex.EncodeToString(raw[:])
	fmt.Fprintf(str.out, "Key        %s\nKeyDigest  %s\n", key, resource.Digest([]byte(key)))
	return nil
}
