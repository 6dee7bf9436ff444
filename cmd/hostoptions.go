package cmd

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"lynxwell.dev/lynxwell/operator"
)

// hostOptions holds the options that select a host's operator API.
type hostOptions struct {
	host    netip.AddrPort
	key     string
	keyFile string
	timeout time.Duration
}

// The environment variables that are used if the flag is absent.
const (
	envHost    = "LYNXWELL_HOST"
	envKeyFile = "LYNXWELL_KEY_FILE"
)

// defaultTimeout is the default time limit of commands that call a host.
const defaultTimeout = 30 * time.Second

func (opt *hostOptions) addFlags(sub *flaggy.Subcommand) {
	opt.timeout = defaultTimeout
	sub.NetipAddrPort(&opt.host, "", "host", "operator address of a host, IP:PORT (or "+envHost+")")
	sub.String(&opt.key, "", "key", "the operators' key")
	sub.String(&opt.keyFile, "", "key-file", "file with the operators' key (or "+envKeyFile+")")
	sub.Duration(&opt.timeout, "", "timeout", "time limit for the whole command (default 30s)")
}

func (opt *hostOptions) client() (*operator.Client, error) {
	if err := opt.resolve(); err != nil {
		return nil, err
	}
	return operator.NewClient(operator.ClientConfig{Address: opt.host, Key: opt.key}), nil
}

// resolve fills in absent options from the environment variables, reads the key file, and
// returns a *usageError for an option that is invalid or still missing.
func (opt *hostOptions) resolve() error {
	if text := os.Getenv(envHost); !opt.host.IsValid() && text != "" {
		adr, err := netip.ParseAddrPort(text)
		if err != nil {
			return &usageError{flag: envHost, reason: err.Error()}
		}
		opt.host = adr
	}
	if !opt.host.IsValid() {
		return &usageError{flag: "--host", reason: "want IP:PORT"}
	}
	if opt.keyFile == "" {
		opt.keyFile = os.Getenv(envKeyFile)
	}
	if opt.key == "" && opt.keyFile != "" {
		data, err := os.ReadFile(opt.keyFile)
		if err != nil {
			return errors.Wrap(err, "--key-file")
		}
		opt.key = strings.TrimRight(string(data), "\r\n")
	}
	if opt.key == "" {
		return &usageError{flag: "--key-file", reason: "want a file with the operators' key, or --key with the key itself"}
	}
	return nil
}
