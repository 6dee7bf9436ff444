package resource

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"
)

// maxSlots bounds Engine.Slots; more is surely a slip.
const maxSlots = 4096

// digestLen is the length of a SHA-256 digest in bytes.
const digestLen = 32

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Problem is one reason why a configuration can't be accepted.
type Problem struct {
	// Key identifies the resource.
	Key Key
	// Field is the field's name.
	Field string
	// Reason says what is wrong.
	Reason string
}

// String returns the resource, field and reason.
func (pro Problem) String() string {
	return fmt.Sprintf("%s: %s: %s", pro.Key, pro.Field, pro.Reason)
}

// CheckError reports a configuration that can't be accepted.
type CheckError struct {
	// Problems are all that was found, at least one.
	Problems []Problem
}

// Error lists the problems.
func (cer *CheckError) Error() string {
	lines := make([]string, len(cer.Problems))
	for idx, pro := range cer.Problems {
		lines[idx] = pro.String()
	}
	return strings.Join(lines, "; ")
}

// Check returns every reason why the configuration can't be accepted.
func (con Configuration) Check() []Problem {
	chk := check{con: con, digests: make(map[string]Key)}
	for _, ent := range con.Entries() {
		chk.entry(ent.Resource)
	}
	return chk.problems
}

type check struct {
	con      Configuration
	digests  map[string]Key
	problems []Problem
}

func (chk *check) entry(res Resource) {
	key := res.Key()
	chk.want(namePattern.MatchString(key.Name), key, "Name", "want 1 to 63 letters, digits, '.', '_' or '-', the first a letter or digit")
	switch res := res.(type) {
	case Service:
		chk.service(key, res)
	case Engine:
		chk.engine(key, res)
	case Tier:
		chk.want(res.Rank >= 0, key, "Rank", "want 0 or more")
	case ClientAccount:
		chk.account(key, res)
	}
}

func (chk *check) service(key Key, ser Service) {
	chk.want(ser.Protocol == ProtocolModel || ser.Protocol == ProtocolPlain, key, "Protocol", `want "Model" or "Plain"`)
	chk.want(ser.MaxBodyBytes >= 0, key, "MaxBodyBytes", "want 0 or more")
	chk.want(ser.DefaultDeadline >= 0, key, "DefaultDeadline", "want 0 or more")
	chk.want(ser.MaxWaiting >= 0, key, "MaxWaiting", "want 0 or more")
}

func (chk *check) engine(key Key, eng Engine) {
	_, known := chk.con.Service(eng.Service)
	chk.want(known, key, "Service", fmt.Sprintf("there is no service %q", eng.Service))
	chk.want(eng.Address.IsValid() && eng.Address.Port() != 0, key, "Address", "want IP:PORT")
	chk.want(eng.Slots >= 1 && eng.Slots <= maxSlots, key, "Slots", fmt.Sprintf("want 1 to %d", maxSlots))
	chk.want(eng.PrefillTokensPerSecond >= 0, key, "PrefillTokensPerSecond", "want 0 or more")
	chk.want(eng.DecodeTokensPerSecond >= 0, key, "DecodeTokensPerSecond", "want 0 or more")
}

func (chk *check) account(key Key, acc ClientAccount) {
	chk.want(len(acc.Tiers) > 0, key, "Tiers", "want at least one tier")
	for _, name := range acc.Tiers {
		_, known := chk.con.Tier(name)
		chk.want(known, key, "Tiers", fmt.Sprintf("there is no tier %q", name))
	}
	for _, name := range acc.Services {
		_, known := chk.con.Service(name)
		chk.want(known, key, "Services", fmt.Sprintf("there is no service %q", name))
	}
	for _, digest := range acc.KeyDigests {
		raw, err := hex.DecodeString(digest)
		chk.want(err == nil && len(raw) == digestLen, key, "KeyDigests", "want SHA-256 digests of 64 hexadecimal digits")
		other, taken := chk.digests[digest]
		chk.want(!taken, key, "KeyDigests", "a key of "+other.Name+" stands here too")
		chk.digests[digest] = key
	}
	chk.want(acc.Weight >= 0, key, "Weight", "want 0 or more")
	chk.want(acc.RequestsPerSecond >= 0, key, "RequestsPerSecond", "want 0 or more")
	chk.want(acc.MaxInFlight >= 0, key, "MaxInFlight", "want 0 or more")
}

func (chk *check) want(holds bool, key Key, field, reason string) {
	if !holds {
		chk.problems = append(chk.problems, Problem{Key: key, Field: field, Reason: reason})
	}
}
