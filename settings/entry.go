package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/format"
)

// Entry holds the settings of a host that serves clients in the protocol of the users'
// platform. The platform fills in the template deploy/settings.json to create the file.
type Entry struct {
	// Name is the host's name, unique in the system.
	Name string
	// Domain is the host's failure domain.
	Domain string
	// Regions maps each failure domain, including the host's own, to its region. The map is
	// empty in a deployment with one region.
	Regions map[string]string
	// CallerAddress is the listen address for clients' requests.
	CallerAddress netip.AddrPort
	// ReadyAddress is the listen address of the platform's readiness check.
	ReadyAddress netip.AddrPort
	// DirectoryAddress is the listen address for clients that request the list of
	// addresses.
	DirectoryAddress netip.AddrPort
	// PeerAddress is the listen address for the other hosts.
	PeerAddress netip.AddrPort
	// MetricsAddress is the listen address of the host's metrics.
	MetricsAddress netip.AddrPort
	// StoreAddress is the address of the platform's store.
	StoreAddress netip.AddrPort
	// PeerKey is a key that all hosts share. If it is empty, hosts authenticate one another
	// by a secret that the first host generates and writes to the store.
	PeerKey string
	// LogLevel is a zerolog level; empty means "info".
	LogLevel string
	// Cores is the number of processor cores that the host may use, possibly less than 1.
	// CoreSpeed is the speed of a core relative to a standard core. 0 means 1 for both.
	Cores     float64
	CoreSpeed float64
	// Bounds are the limits that the system must meet.
	Bounds Bounds
	// Scheduling sets how requests are scheduled in overload.
	Scheduling Scheduling
}

// Shares is how the requests of one rank and urgency that wait for engines are ordered.
type Shares string

// The values of Shares.
const (
	// SharesByArrival serves requests in the order of their arrival. It is the default.
	SharesByArrival Shares = "Arrival"
	// SharesByWeight divides the engines among the client accounts whose requests wait, by the
	// accounts' rate limits, and equally among the clients of each.
	SharesByWeight Shares = "Weighted"
)

// Scheduling sets how requests are scheduled in overload.
type Scheduling struct {
	// Shares is SharesByArrival or SharesByWeight.
	Shares Shares
	// PredictTurns makes the coordinator predict when a waiting request will be granted an engine. A
	// request that certainly comes too late is refused when it arrives. Default false: requests are
	// refused after a quarter of their latency target.
	PredictTurns Toggle
	// BookReturns makes the coordinator tell refused clients when there will be room, and serve those
	// first that return then. It needs PredictTurns. Default false, since it leaves less room to the
	// least urgent requests.
	BookReturns Toggle
}

// Bounds are the limits that the system must meet. Durations are in the unit at the end of the
// field's name. Zero means the default.
type Bounds struct {
	// RevokeMilliseconds is the time after which requests with a revoked key must be
	// rejected, default 5000.
	RevokeMilliseconds float64
	// RevocationIsStrict extends RevokeMilliseconds to hosts that can't connect to the store:
	// if true, these hosts stop accepting keys before the time has passed; if false, they
	// continue with the newest configuration that they have. Default true, because otherwise a
	// host without the store accepts a revoked key for longer.
	RevocationIsStrict Toggle
	// GraceSeconds is the maximum duration of a planned stop, default 8.
	GraceSeconds float64
	// MaxKeepSeconds is the maximum time for which clients may cache the list of
	// addresses, default 5.
	MaxKeepSeconds float64
	// RepeatRatio, RepeatWindowSeconds and RepeatSlack bound how many requests are retried
	// on another engine: in a window, RepeatRatio of the requests and RepeatSlack more.
	// Defaults 0.2, 10 and 50.
	RepeatRatio         float64
	RepeatWindowSeconds float64
	RepeatSlack         float64
	// LimitSlack is the number of tokens that may be served beyond a client account's limit in
	// a window, summed over all hosts; default 100000.
	LimitSlack float64
	// LimitWindowSeconds is the length of the window over which a client account's usage is
	// measured, default 8.
	LimitWindowSeconds float64
	// LimitOvershoot is the fraction of the limit that may be served beyond the limit in a
	// window, in addition to the slack; from 0 to 1, default 0.
	LimitOvershoot float64
	// ExposureShare is the fraction, from 0 to 1, of a service's requests that may be sent to a
	// version not yet known to be healthy. ExposureSlack is the number of requests that may be
	// sent in addition. Defaults 0.1 and 20.
	ExposureShare float64
	ExposureSlack float64
	// RenewSecretSeconds is the interval at which the secret shared by the hosts is
	// rotated, default 86400.
	RenewSecretSeconds float64
}

// The defaults of Bounds, which equal the initial settings of both users' deployments.
const (
	defaultRevokeMilliseconds  = 5000
	defaultGraceSeconds        = 8
	defaultMaxKeepSeconds      = 5
	defaultRepeatRatio         = 0.2
	defaultRepeatWindowSeconds = 10
	defaultRepeatSlack         = 50
	defaultLimitSlack          = 100_000
	defaultLimitWindowSeconds  = 8
	defaultExposureShare       = 0.1
	defaultExposureSlack       = 20
	defaultRenewSecretSeconds  = 86400
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

// LimitWindow returns LimitWindowSeconds as a duration.
func (bou Bounds) LimitWindow() time.Duration { return seconds(bou.LimitWindowSeconds) }

// RenewSecret returns RenewSecretSeconds as a duration.
func (bou Bounds) RenewSecret() time.Duration { return seconds(bou.RenewSecretSeconds) }

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// Region returns the host's own region, or an empty string if Regions doesn't name it.
func (ent Entry) Region() string {
	return ent.Regions[ent.Domain]
}

// LoadEntry reads and checks a settings file. It returns a *format.FieldError for an invalid
// field.
func LoadEntry(file string) (Entry, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Entry{}, errors.Wrap(err, "read settings")
	}
	return ParseEntry(file, data)
}

// ParseEntry decodes and checks the content of a settings file. Errors state the file's name.
func ParseEntry(file string, data []byte) (Entry, error) {
	var ent Entry
	if err := format.Decode(file, data, &ent); err != nil {
		return Entry{}, err
	}
	if err := ent.check(file); err != nil {
		return Entry{}, err
	}
	ent.Bounds = ent.Bounds.withDefaults()
	setDefaultNumber(&ent.Cores, 1)
	setDefaultNumber(&ent.CoreSpeed, 1)
	return ent, nil
}

func (bou Bounds) withDefaults() Bounds {
	setDefaultNumber(&bou.RevokeMilliseconds, defaultRevokeMilliseconds)
	setDefaultNumber(&bou.GraceSeconds, defaultGraceSeconds)
	setDefaultNumber(&bou.MaxKeepSeconds, defaultMaxKeepSeconds)
	setDefaultNumber(&bou.RepeatRatio, defaultRepeatRatio)
	setDefaultNumber(&bou.RepeatWindowSeconds, defaultRepeatWindowSeconds)
	setDefaultNumber(&bou.RepeatSlack, defaultRepeatSlack)
	setDefaultNumber(&bou.LimitSlack, defaultLimitSlack)
	setDefaultNumber(&bou.LimitWindowSeconds, defaultLimitWindowSeconds)
	setDefaultNumber(&bou.ExposureShare, defaultExposureShare)
	setDefaultNumber(&bou.ExposureSlack, defaultExposureSlack)
	setDefaultNumber(&bou.RenewSecretSeconds, defaultRenewSecretSeconds)
	return bou
}

func setDefaultNumber(value *float64, def float64) {
	if *value == 0 {
		*value = def
	}
}

func (ent Entry) check(file string) error {
	return firstFailed(file, append([]fieldCheck{
		{ent.Name != "", "Name", "want a host name"},
		{ent.Domain != "", "Domain", "want a failure domain"},
		{len(ent.Regions) == 0 || ent.Region() != "", "Regions", "want the region of the host's own failure domain, or none at all"},
		{isValidAddress(ent.CallerAddress), "CallerAddress", wantAddress},
		{isValidAddress(ent.ReadyAddress), "ReadyAddress", wantAddress},
		{isValidAddress(ent.DirectoryAddress), "DirectoryAddress", wantAddress},
		{isValidAddress(ent.PeerAddress), "PeerAddress", wantAddress},
		{isValidAddress(ent.MetricsAddress), "MetricsAddress", wantAddress},
		{isValidAddress(ent.StoreAddress), "StoreAddress", wantAddress},
		{ent.PeerKey == "" || len(ent.PeerKey) >= minKeyLen, "PeerKey", "want a key of 16 bytes or more, or none"},
		{ent.Cores >= 0, "Cores", wantNonNegative},
		{ent.CoreSpeed >= 0, "CoreSpeed", wantNonNegative},
		{ent.Scheduling.Shares.isValid(), "Scheduling.Shares", "want Arrival or Weighted"},
		{ent.Scheduling.PredictTurns.valid(), "Scheduling.PredictTurns", wantToggle},
		{ent.Scheduling.BookReturns.valid(), "Scheduling.BookReturns", wantToggle},
		{!ent.Scheduling.BookReturns.Or(false) || ent.Scheduling.PredictTurns.Or(false), "Scheduling.BookReturns", "want PredictTurns too"},
	}, ent.Bounds.checks()...))
}

func (sha Shares) isValid() bool {
	switch sha {
	case "", SharesByArrival, SharesByWeight:
		return true
	default:
		return false
	}
}

const wantNonNegative = "want 0 or more"

func (bou Bounds) checks() []fieldCheck {
	return []fieldCheck{
		{bou.RevokeMilliseconds >= 0, "Bounds.RevokeMilliseconds", wantNonNegative},
		{bou.RevocationIsStrict.valid(), "Bounds.RevocationIsStrict", wantToggle},
		{bou.GraceSeconds >= 0, "Bounds.GraceSeconds", wantNonNegative},
		{bou.MaxKeepSeconds >= 0, "Bounds.MaxKeepSeconds", wantNonNegative},
		{bou.RepeatRatio >= 0, "Bounds.RepeatRatio", wantNonNegative},
		{bou.RepeatWindowSeconds >= 0, "Bounds.RepeatWindowSeconds", wantNonNegative},
		{bou.RepeatSlack >= 0, "Bounds.RepeatSlack", wantNonNegative},
		{bou.LimitSlack >= 0, "Bounds.LimitSlack", wantNonNegative},
		{bou.LimitWindowSeconds >= 0, "Bounds.LimitWindowSeconds", wantNonNegative},
		{bou.LimitOvershoot >= 0 && bou.LimitOvershoot <= 1, "Bounds.LimitOvershoot", "want 0 to 1"},
		{bou.ExposureShare >= 0 && bou.ExposureShare <= 1, "Bounds.ExposureShare", "want 0 to 1"},
		{bou.ExposureSlack >= 0, "Bounds.ExposureSlack", "want 0 or more"},
		{bou.RenewSecretSeconds >= 0, "Bounds.RenewSecretSeconds", "want 0 or more"},
	}
}
