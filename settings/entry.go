package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/format"
)

// Entry are the settings of a host that takes callers as the users' platform
// sends them. deploy/settings.json lays the file out from the platform's fields.
type Entry struct {
	// Name is the host's name, unique in the system.
	Name string
	// Domain is the host's failure domain.
	Domain string
	// CallerAddress is where callers send requests.
	CallerAddress netip.AddrPort
	// ReadyAddress is where the platform asks whether the host takes requests.
	ReadyAddress netip.AddrPort
	// DirectoryAddress is where callers ask which addresses to use.
	DirectoryAddress netip.AddrPort
	// PeerAddress is where other hosts connect.
	PeerAddress netip.AddrPort
	// MetricsAddress is where the host tells its figures.
	MetricsAddress netip.AddrPort
	// StoreAddress is where the platform's store listens.
	StoreAddress netip.AddrPort
	// PeerKey is the key that all hosts share.
	PeerKey string
	// LogLevel is a zerolog level; empty stands for "info".
	LogLevel string
	// Cores is the part of a core that the host has, CoreSpeed how fast that is
	// beside a usual one; 0 stands for 1.
	Cores     float64
	CoreSpeed float64
	// Bounds are what the users hold the system to.
	Bounds Bounds
}

// Bounds are what the users hold the system to, in milliseconds and seconds as
// their names tell; zero stands for the default.
type Bounds struct {
	// RevokeMilliseconds is after what time a key that was taken away must not
	// be served any more, default 5000.
	RevokeMilliseconds float64
	// GraceSeconds is how long a planned stop may take, default 8.
	GraceSeconds float64
	// MaxKeepSeconds is how long callers keep an answer with addresses at most,
	// default 5.
	MaxKeepSeconds float64
	// RepeatRatio, RepeatWindowSeconds and RepeatSlack bound the requests that are
	// sent to a further engine; defaults 0.2, 10 and 50.
	RepeatRatio         float64
	RepeatWindowSeconds float64
	RepeatSlack         float64
	// LimitSlack is how many tokens may be served beyond a client account's limit
	// in a window, over all hosts; default 100000.
	LimitSlack float64
}

// The defaults of Bounds: what both users' deployments had at first.
const (
	defaultRevokeMilliseconds  = 5000
	defaultGraceSeconds        = 8
	defaultMaxKeepSeconds      = 5
	defaultRepeatRatio         = 0.2
	defaultRepeatWindowSeconds = 10
	defaultRepeatSlack         = 50
	defaultLimitSlack          = 100_000
)

// Revoke returns RevokeMilliseconds as a duration.
func (bou Bounds) Revoke() time.Duration {
	return time.Duration(bou.RevokeMilliseconds * float64(time.Millisecond))
}

// Grace returns GraceSeconds as a duration.
func (bou Bounds) Grace() time.Duration { return seconds(bou.GraceSeconds) }

// MaxKeep returns MaxKeepSeconds as a duration.
func (bou Bounds) MaxKeep() time.Duration { return seconds(bou.MaxKeepSeconds) }

// RepeatWindow returns RepeatWindowSeconds as a duration.
func (bou Bounds) RepeatWindow() time.Duration { return seconds(bou.RepeatWindowSeconds) }

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// LoadEntry reads and checks the settings file. It returns a
// *format.FieldError that names the field.
func LoadEntry(file string) (Entry, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Entry{}, errors.Wrap(err, "read settings")
	}
	return ParseEntry(file, data)
}

// ParseEntry reads and checks settings from data.
func ParseEntry(file string, data []byte) (Entry, error) {
	var ent Entry
	if err := format.Decode(file, data, &ent); err != nil {
		return Entry{}, err
	}
	if err := ent.check(file); err != nil {
		return Entry{}, err
	}
	ent.Bounds = ent.Bounds.withDefaults()
	fillNumber(&ent.Cores, 1)
	fillNumber(&ent.CoreSpeed, 1)
	return ent, nil
}

func (bou Bounds) withDefaults() Bounds {
	fillNumber(&bou.RevokeMilliseconds, defaultRevokeMilliseconds)
	fillNumber(&bou.GraceSeconds, defaultGraceSeconds)
	fillNumber(&bou.MaxKeepSeconds, defaultMaxKeepSeconds)
	fillNumber(&bou.RepeatRatio, defaultRepeatRatio)
	fillNumber(&bou.RepeatWindowSeconds, defaultRepeatWindowSeconds)
	fillNumber(&bou.RepeatSlack, defaultRepeatSlack)
	fillNumber(&bou.LimitSlack, defaultLimitSlack)
	return bou
}

func fillNumber(value *float64, def float64) {
	if *value == 0 {
		*value = def
	}
}

func (ent Entry) check(file string) error {
	bou := ent.Bounds
	lowest := min(bou.RevokeMilliseconds, bou.GraceSeconds, bou.MaxKeepSeconds, bou.RepeatRatio, bou.RepeatWindowSeconds, bou.RepeatSlack, bou.LimitSlack)
	return firstFailed(file, []fieldCheck{
		{ent.Name != "", "Name", "want a host name"},
		{ent.Domain != "", "Domain", "want a failure domain"},
		{usable(ent.CallerAddress), "CallerAddress", wantAddress},
		{usable(ent.ReadyAddress), "ReadyAddress", wantAddress},
		{usable(ent.DirectoryAddress), "DirectoryAddress", wantAddress},
		{usable(ent.PeerAddress), "PeerAddress", wantAddress},
		{usable(ent.MetricsAddress), "MetricsAddress", wantAddress},
		{usable(ent.StoreAddress), "StoreAddress", wantAddress},
		{len(ent.PeerKey) >= minKeyLen, "PeerKey", "want a key of 16 bytes or more"},
		{ent.Cores >= 0, "Cores", "want 0 or more"},
		{ent.CoreSpeed >= 0, "CoreSpeed", "want 0 or more"},
		{lowest >= 0, "Bounds", "want figures of 0 or more"},
	})
}
