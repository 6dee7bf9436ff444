// Package intake bounds what a host keeps of the store, to which other programs write as well.
//
// # Usage
//
//	itk := intake.New(intake.Rules{Family: familyOf, IsUsable: isUsable})
//	if val, kept := itk.Admit(val); kept { // for each value that is read
//	itk.Remove(key) // for each key that is removed
//	if itk.TakeRoom() { // what was left out may fit: read all keys again
//
// Values of a family that can't be used get a small part of its room, so that any number of them leaves the room of
// those that can. The package is pure: it uses no clock, goroutine or network.
package intake

import "lynxwell.dev/lynxwell/store"

const (
	// MaxKeys bounds the keys of a family: five times the engines of the largest fleet, of 3,000.
	MaxKeys = 16384
	// MaxBytes bounds the data of a family. Eight families take 32 MB of a host's 134 MB, if other programs fill all.
	MaxBytes = 4 << 20
	// MaxUncheckedKeys and maxUncheckedBytes bound the keys and the data of a family that are kept although they may be
	// unusable. They are kept so that they are logged.
	MaxUncheckedKeys  = 1024
	maxUncheckedBytes = MaxBytes / 4
	// fullShare is the part of the room of a family from which on another reader of the store may have left values out.
	// roomShare is the part that is in use when what was left out is read again.
	fullShare = 0.875
	roomShare = 0.75
)

// Rules are what an Intake knows of keys and values.
type Rules struct {
	// Family returns the family of a key; empty for a key that is kept whatever else the store has.
	Family func(key string) string
	// IsUsable reports whether a value is valid.
	IsUsable func(val store.Value) bool
}

// Intake decides which values are kept.
type Intake struct {
	rules    Rules
	families map[string]*family
	leftOut  int
}

// family is what is kept of a family.
type family struct {
	// sizes holds the size of the data of each key.
	sizes map[string]int
	bytes int
	// lacking is set while usable values may be left out.
	lacking bool
}

// New returns an Intake that keeps nothing yet.
func New(rules Rules) *Intake {
	return &Intake{rules: rules, families: make(map[string]*family)}
}

// Admit returns what is kept of a value, and false if nothing is. Data without room is left out; the key is kept if it
// is one of the first, so that it is reported, or was kept before, since its former data isn't valid any longer.
func (itk *Intake) Admit(val store.Value) (store.Value, bool) {
	name := itk.rules.Family(val.Key)
	if name == "" {
		return val, true
	}
	fam := itk.families[name]
	if fam == nil {
		fam = &family{sizes: make(map[string]int)}
		itk.families[name] = fam
	}
	former, known := fam.sizes[val.Key]
	total := fam.bytes - former + len(val.Data)
	usable := len(fam.sizes) < MaxUncheckedKeys && total <= maxUncheckedBytes || itk.rules.IsUsable(val)
	fits := total <= MaxBytes && (known || len(fam.sizes) < MaxKeys)
	if !usable || !fits {
		itk.leftOut++
		if !known && len(fam.sizes) >= MaxUncheckedKeys {
			return store.Value{}, false
		}
		val.Data = nil
	}
	fam.bytes += len(val.Data) - former
	fam.sizes[val.Key] = len(val.Data)
	fam.lacking = fam.lacking || fam.uses(fullShare)
	return val, true
}

// uses reports whether more than a part of the room is in use.
func (fam *family) uses(share float64) bool {
	return float64(len(fam.sizes)) > share*MaxKeys || float64(fam.bytes) > share*MaxBytes
}

// Remove records that a key was removed.
func (itk *Intake) Remove(key string) {
	fam := itk.families[itk.rules.Family(key)]
	if fam == nil {
		return
	}
	fam.bytes -= fam.sizes[key]
	delete(fam.sizes, key)
}

// LeftOut returns how many values were left out, with or without their keys.
func (itk *Intake) LeftOut() int { return itk.leftOut }

// TakeRoom reports whether there is room again for usable values that may have been left out. It reports each occasion once.
func (itk *Intake) TakeRoom() bool {
	room := false
	for _, fam := range itk.families {
		if fam.lacking && !fam.uses(roomShare) {
			fam.lacking = false
			room = true
		}
	}
	return room
}
