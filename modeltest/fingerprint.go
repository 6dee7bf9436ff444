package modeltest

import (
	"encoding/binary"
	"hash/fnv"
	"reflect"
	"time"
)

// ignoredFields holds the names of the fields that do not influence later steps.
var ignoredFields = map[string]bool{"steps": true, "shed": true, "callers": true, "actions": true, "cfg": true, "conf": true, "shares": true}

// Fingerprint returns a hash of the state. Worlds in the same state have the same hash.
func (wor *World) Fingerprint() uint64 {
	fin := &fingerprinter{visited: make(map[uintptr]uint64)}
	return fin.value(reflect.ValueOf(wor))
}

// fingerprinter hashes values by content.
type fingerprinter struct {
	// visited maps each pointer that was followed to its position in the order of visits.
	visited map[uintptr]uint64
}

func hashNumbers(parts ...uint64) uint64 {
	hsh := fnv.New64a()
	var raw [8]byte
	for _, part := range parts {
		binary.LittleEndian.PutUint64(raw[:], part)
		_, _ = hsh.Write(raw[:])
	}
	return hsh.Sum64()
}

func hashText(text string) uint64 {
	hsh := fnv.New64a()
	_, _ = hsh.Write([]byte(text))
	return hsh.Sum64()
}

var timeType = reflect.TypeFor[time.Time]()

func (fin *fingerprinter) value(val reflect.Value) uint64 {
	switch val.Kind() {
	case reflect.Bool:
		if val.Bool() {
			return 1
		}
		return 2
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return uint64(val.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		return val.Uint()
	case reflect.Float32, reflect.Float64:
		return uint64(val.Float() * 1e6)
	case reflect.String:
		return hashText(val.String())
	case reflect.Interface:
		return fin.interfaceValue(val)
	case reflect.Pointer:
		return fin.pointer(val)
	case reflect.Struct:
		return fin.structValue(val)
	case reflect.Slice, reflect.Array:
		return fin.list(val)
	case reflect.Map:
		return fin.mapValue(val)
	default:
		return 0
	}
}

func (fin *fingerprinter) interfaceValue(val reflect.Value) uint64 {
	if val.IsNil() {
		return 0
	}
	return hashNumbers(hashText(val.Elem().Type().String()), fin.value(val.Elem()))
}

// pointer hashes the target of a pointer on the first visit, and the position of that visit on
// later ones, so that a cycle ends.
func (fin *fingerprinter) pointer(val reflect.Value) uint64 {
	if val.IsNil() {
		return 0
	}
	if position, known := fin.visited[val.Pointer()]; known {
		return hashNumbers(position)
	}
	fin.visited[val.Pointer()] = uint64(len(fin.visited) + 1)
	return fin.value(val.Elem())
}

func (fin *fingerprinter) structValue(val reflect.Value) uint64 {
	typ := val.Type()
	if typ == timeType {
		// Fields 0 and 1, wall and ext, hold the instant, as the times here have no monotonic clock
		// reading. The location does not matter.
		return hashNumbers(val.Field(0).Uint(), uint64(val.Field(1).Int()))
	}
	parts := make([]uint64, 0, val.NumField())
	for idx := range val.NumField() {
		if !ignoredFields[typ.Field(idx).Name] {
			parts = append(parts, fin.value(val.Field(idx)))
		}
	}
	return hashNumbers(parts...)
}

func (fin *fingerprinter) list(val reflect.Value) uint64 {
	parts := make([]uint64, 0, val.Len()+1)
	parts = append(parts, uint64(val.Len()))
	for idx := range val.Len() {
		parts = append(parts, fin.value(val.Index(idx)))
	}
	return hashNumbers(parts...)
}

// mapValue hashes a map independently of the iteration order. Each entry gets its own
// fingerprinter, so that the order does not change the positions of visited pointers.
func (fin *fingerprinter) mapValue(val reflect.Value) uint64 {
	total := uint64(val.Len())
	for iter := val.MapRange(); iter.Next(); {
		entry := &fingerprinter{visited: make(map[uintptr]uint64)}
		total += hashNumbers(entry.value(iter.Key()), entry.value(iter.Value()))
	}
	return total
}
