// Package settings reads the settings of one host's process.
//
// # Usage
//
//	set, err := settings.Load("host.json")      // for package host
//	ent, err := settings.LoadEntry("host.json") // for package entry
//
// A settings file is JSON with comments. Its keys are the names of the fields of Settings or
// Entry. The functions check every field and report the first invalid one.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/format"
)

// minKeyLen is the minimum length of a key, in bytes.
const minKeyLen = 16

// Settings configure one host's process, which reads them once, at its start.
type Settings struct {
	// Name is the host's name, unique in the system.
	Name string
	// Domain is the host's failure domain.
	Domain string
	// CallerAddress is the listen address for clients.
	CallerAddress netip.AddrPort
	// PeerAddress is the listen address for the other hosts.
	PeerAddress netip.AddrPort
	// OperatorAddress is the listen address for operators.
	OperatorAddress netip.AddrPort
	// PlatformAddress is the address of the platform's key-value service.
	PlatformAddress netip.AddrPort
	// Seeds are the peer addresses from which the host fetches views and the configuration if
	// the platform is unavailable at the start.
	Seeds []netip.AddrPort
	// PeerKey is the bearer key that all hosts share, of at least 16 bytes.
	PeerKey string
	// PeerKeyFile is the file from which the key is read if PeerKey is empty.
	PeerKeyFile string
	// PeerTLS enables mutual TLS between hosts; PeerKey may then be empty.
	PeerTLS *TLSFiles
	// OperatorKey is the bearer key of operators, of at least 16 bytes.
	OperatorKey string
	// OperatorKeyFile is the file from which the key is read if OperatorKey is empty.
	OperatorKeyFile string
	// LogLevel is a zerolog level; empty means "info".
	LogLevel string
	// Timing holds the intervals and timeouts; each has a default.
	Timing Timing
}

// Timing holds the intervals and timeouts of a host. Zero means the default.
type Timing struct {
	// Lease is the time to live of the host's lease, default 10 s.
	Lease format.Duration
	// Heartbeat is the interval between heartbeats of a session between hosts,
	// default 500 ms.
	Heartbeat format.Duration
	// PeerTimeout is how long a session may go without a received frame before the session
	// is considered lost, default 1.5 s.
	PeerTimeout format.Duration
	// Window is how long a gateway issues request ids with the same prefix, default 5 m.
	Window format.Duration
	// KeepAddresses is how long clients may cache the list of addresses, default 30 s.
	KeepAddresses format.Duration
	// OrphanGrace is how long a stream continues after its client has disconnected,
	// default 10 s.
	OrphanGrace format.Duration
	// DrainLimit is the maximum duration of a planned stop, default 10 m.
	DrainLimit format.Duration
}

// The defaults of Timing.
const (
	defaultLease         = 10 * time.Second
	defaultHeartbeat     = 500 * time.Millisecond
	defaultPeerTimeout   = 1500 * time.Millisecond
	defaultWindow        = 5 * time.Minute
	defaultKeepAddresses = 30 * time.Second
	defaultOrphanGrace   = 10 * time.Second
	defaultDrainLimit    = 10 * time.Minute
)

// Load reads and checks a settings file. It returns a *format.FieldError for an invalid field.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(file, data)
}

// Parse decodes and checks the content of a settings file, and reads the key and certificate
// files that the settings name. Errors state the settings file's name.
func Parse(file string, data []byte) (Settings, error) {
	var set Settings
	if err := format.Decode(file, data, &set); err != nil {
		return Settings{}, err
	}
	if err := readKey(file, "PeerKeyFile", set.PeerKeyFile, &set.PeerKey); err != nil {
		return Settings{}, err
	}
	if err := readKey(file, "OperatorKeyFile", set.OperatorKeyFile, &set.OperatorKey); err != nil {
		return Settings{}, err
	}
	if err := set.PeerTLS.check(file); err != nil {
		return Settings{}, err
	}
	if err := set.check(file); err != nil {
		return Settings{}, err
	}
	set.Timing = set.Timing.WithDefaults()
	return set, nil
}

// WithDefaults returns the timing with every zero replaced by its default.
func (tim Timing) WithDefaults() Timing {
	setDefault(&tim.Lease, defaultLease)
	setDefault(&tim.Heartbeat, defaultHeartbeat)
	setDefault(&tim.PeerTimeout, defaultPeerTimeout)
	setDefault(&tim.Window, defaultWindow)
	setDefault(&tim.KeepAddresses, defaultKeepAddresses)
	setDefault(&tim.OrphanGrace, defaultOrphanGrace)
	setDefault(&tim.DrainLimit, defaultDrainLimit)
	return tim
}

func setDefault(dur *format.Duration, def time.Duration) {
	if *dur == 0 {
		*dur = format.Duration(def)
	}
}

// readKey reads the key from the file that a field names, unless the key is already set.
func readKey(file, field, name string, key *string) error {
	if name == "" || *key != "" {
		return nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return &format.FieldError{File: file, Field: field, Reason: err.Error()}
	}
	*key = string(trimNewline(data))
	return nil
}

func trimNewline(data []byte) []byte {
	for len(data) > 0 && (data[len(data)-1] == '\n' || data[len(data)-1] == '\r') {
		data = data[:len(data)-1]
	}
	return data
}

func (set Settings) check(file string) error {
	return firstFailed(file, []fieldCheck{
		{set.Name != "", "Name", "want a host name"},
		{set.Domain != "", "Domain", "want a failure domain"},
		{isValidAddress(set.CallerAddress), "CallerAddress", wantAddress},
		{isValidAddress(set.PeerAddress), "PeerAddress", wantAddress},
		{isValidAddress(set.OperatorAddress), "OperatorAddress", wantAddress},
		{isValidAddress(set.PlatformAddress), "PlatformAddress", wantAddress},
		{len(set.PeerKey) >= minKeyLen || (set.PeerTLS != nil && set.PeerKey == ""), "PeerKey", "want a key of 16 bytes or more, here or in PeerKeyFile"},
		{len(set.OperatorKey) >= minKeyLen, "OperatorKey", "want a key of 16 bytes or more, here or in OperatorKeyFile"},
		{set.PeerKey != set.OperatorKey, "OperatorKey", "must differ from PeerKey"},
		{set.Timing.notNegative(), "Timing", "want durations of 0 or more"},
	})
}

// wantAddress is the reason that an error states for an invalid address.
const wantAddress = "want IP:PORT with a port over 0"

// fieldCheck is the result of checking one field. reason is the requirement to report if the
// field is invalid.
type fieldCheck struct {
	valid  bool
	field  string
	reason string
}

// firstFailed returns a *format.FieldError for the first failed check, or nil.
func firstFailed(file string, checks []fieldCheck) error {
	for _, chk := range checks {
		if !chk.valid {
			return &format.FieldError{File: file, Field: chk.field, Reason: chk.reason}
		}
	}
	return nil
}

func (tim Timing) notNegative() bool {
	return min(tim.Lease, tim.Heartbeat, tim.PeerTimeout, tim.Window, tim.KeepAddresses, tim.OrphanGrace, tim.DrainLimit) >= 0
}

func isValidAddress(adr netip.AddrPort) bool {
	return adr.IsValid() && adr.Port() != 0
}
