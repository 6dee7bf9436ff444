package resource

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"
)

// maxSlots bounds Engine.Slots, so that mistyped values are rejected.
const maxSlots = 4096

// digestLen is the length of a SHA-256 digest in bytes.
const digestLen = 32

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Problem is one reason why a configuration is invalid.
type Problem struct {
	// Key identifies the resource.
	Key Key
	// Field is the name of the invalid field.
	Field string
	// Reason states the allowed values or what is wrong.
	Reason string
}

// String returns the problem as KIND/NAME: FIELD: REASON.
func (pro Problem) String() string {
	return fmt.Sprintf("%s: %s: %s", pro.Key, pro.Field, pro.Reason)
}

// CheckError reports an invalid configuration.
type CheckError struct {
	// Problems are all problems found; there is at least one.
	Problems []Problem
}

// Error returns the problems, separated by semicolons.
func (cer *CheckError) Error() string {
	lines := make([]string, len(cer.Problems))
	for idx, pro := range cer.Problems {
		lines[idx] = pro.String()
	}
	return strings.Join(lines, "; ")
}

// Check returns all problems of the configuration, or nil if it is valid.
func (con Configuration) Check() []Problem {
	chk := check{con: con, digests: make(map[string]Key)}
	for _, ent := range con.Entries() {
		chk.entry(ent.Resource)
	}
	return chk.problems
}

// check collects the problems of a configuration. digests maps each key digest seen so far
// to the client account that lists it.
type check struct {
	con      Configuration
	digests  map[string]Key
	problems []Problem
}

func (chk *check) entry(res Resource) {
	key := res.Key()
	chk.require(namePattern.MatchString(key.Name), key, "Name", "want 1 to 63 letters, digits, '.', '_' or '-', the first a letter or digit")
	switch res := res.(type) {
	case Service:
		chk.service(key, res)
	case Engine:
		chk.engine(key, res)
	case Tier:
		chk.require(res.Rank >= 0, key, "Rank", "want 0 or more")
	case ClientAccount:
		chk.account(key, res)
	}
}

func (chk *check) service(key Key, ser Service) {
	chk.require(ser.Protocol == ProtocolModel || ser.Protocol == ProtocolPlain, key, "Protocol", `want "Model" or "Plain"`)
	chk.require(ser.MaxBodyBytes >= 0, key, "MaxBodyBytes", "want 0 or more")
	chk.require(ser.DefaultDeadline >= 0, key, "DefaultDeadline", "want 0 or more")
	chk.require(ser.MaxWaiting >= 0, key, "MaxWaiting", "want 0 or more")
}

func (chk *check) engine(key Key, eng Engine) {
	_, known := chk.con.Service(eng.Service)
	chk.require(known, key, "Service", fmt.Sprintf("there is no service %q", eng.Service))
	chk.require(eng.Address.IsValid() && eng.Address.Port() != 0, key, "Address", "want IP:PORT")
	chk.require(eng.Slots >= 1 && eng.Slots <= maxSlots, key, "Slots", fmt.Sprintf("want 1 to %d", maxSlots))
	chk.require(eng.PrefillTokensPerSecond >= 0, key, "PrefillTokensPerSecond", "want 0 or more")
	chk.require(eng.DecodeTokensPerSecond >= 0, key, "DecodeTokensPerSecond", "want 0 or more")
}

func (chk *check) account(key Key, acc ClientAccount) {
	chk.require(len(acc.Tiers) > 0, key, "Tiers", "want at least one tier")
	for _, name := range acc.Tiers {
		_, known := chk.con.Tier(name)
		chk.require(known, key, "Tiers", fmt.Sprintf("there is no tier %q", name))
	}
	for _, name := range acc.Services {
		_, known := chk.con.Service(name)
		chk.require(known, key, "Services", fmt.Sprintf("there is no service %q", name))
	}
	for _, digest := range acc.KeyDigests {
		raw, err := hex.DecodeString(digest)
		chk.require(err == nil && len(raw) == digestLen, key, "KeyDigests", "want SHA-256 digests of 64 hexadecimal digits")
		other, taken := chk.digests[digest]
		chk.require(!taken, key, "KeyDigests", "a key of "+other.Name+" stands here too")
		chk.digests[digest] = key
	}
	chk.require(acc.Weight >= 0, key, "Weight", "want 0 or more")
	chk.require(acc.RequestsPerSecond >= 0, key, "RequestsPerSecond", "want 0 or more")
	chk.require(acc.MaxInFlight >= 0, key, "MaxInFlight", "want 0 or more")
}

// require records a problem unless the condition holds.
func (chk *check) require(holds bool, key Key, field, reason string) {
	if !holds {
		chk.problems = append(chk.problems, Problem{Key: key, Field: field, Reason: reason})
	}
}
