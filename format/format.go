// Package format decodes and encodes the project's file format: JSON with
// comments and trailing commas, whose member names are the Pascal case names of
// the Go fields.
//
// # Usage
//
//	var sets settings.Settings
//	if err := format.Decode("host.json", data, &sets); err != nil {
//		var fer *format.FieldError
//		errors.As(err, &fer) // fer.Line, fer.Field
//	}
//
// Decode rejects unknown and duplicate names, so that a misspelt setting is never
// silently ignored.
package format

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// FieldError reports an invalid field of a file.
type FieldError struct {
	// File is the name of the file, as given by the caller.
	File string
	// Line is the line number from 1, or 0 if it is unknown.
	Line int
	// Field is the path of the field, for example "Engines[2].Slots".
	Field string
	// Reason describes the error.
	Reason string
}

// Error returns the file, line, field and reason.
func (fer *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", fer.File, fer.Line, fer.Field, fer.Reason)
}

// Decode decodes one JSON value with comments from data into target, a pointer
// to a struct. It returns a *FieldError for a syntax error, an unknown or
// duplicate name, or a value of the wrong type; file is the file name that the error reports.
func Decode(file string, data []byte, target any) error {
	root, err := hujson.Parse(data)
	if err != nil {
		return &FieldError{File: file, Line: syntaxLine(err), Field: "(file)", Reason: err.Error()}
	}
	che := checker{file: file, data: data}
	if err := che.value(&root, reflect.TypeOf(target).Elem(), ""); err != nil {
		return err
	}
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), target); err != nil {
		return che.typeError(err)
	}
	return nil
}

// Encode returns value as indented JSON with a final newline.
func Encode(value any) ([]byte, error) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode value")
	}
	return append(data, '\n'), nil
}

func syntaxLine(err error) int {
	var line, column int
	if _, serr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); serr != nil {
		return 0
	}
	return line
}

// checker compares a file's syntax tree with the Go type that the file is decoded into.
type checker struct {
	file string
	data []byte
}

func (che *checker) value(val *hujson.Value, typ reflect.Type, path string) error {
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	if hasOwnDecoder(typ) {
		return nil
	}
	switch node := val.Value.(type) {
	case *hujson.Object:
		return che.object(node, typ, path)
	case *hujson.Array:
		return che.array(node, typ, path)
	default:
		return nil
	}
}

func (che *checker) object(obj *hujson.Object, typ reflect.Type, path string) error {
	seen := make(map[string]bool, len(obj.Members))
	for idx := range obj.Members {
		mem := &obj.Members[idx]
		literal, _ := mem.Name.Value.(hujson.Literal)
		name := literal.String()
		field := join(path, name)
		if seen[name] {
			return che.fail(mem.Name.StartOffset, field, "name stands twice")
		}
		seen[name] = true
		sub, known := memberType(typ, name)
		if !known {
			return che.fail(mem.Name.StartOffset, field, "unknown field")
		}
		if sub == nil {
			continue
		}
		if err := che.value(&mem.Value, sub, field); err != nil {
			return err
		}
	}
	return nil
}

func (che *checker) array(arr *hujson.Array, typ reflect.Type, path string) error {
	if typ.Kind() != reflect.Slice && typ.Kind() != reflect.Array {
		return nil
	}
	for idx := range arr.Elements {
		if err := che.value(&arr.Elements[idx], typ.Elem(), path+"["+strconv.Itoa(idx)+"]"); err != nil {
			return err
		}
	}
	return nil
}

func (che *checker) fail(offset int, field, reason string) error {
	return &FieldError{File: che.file, Line: che.line(offset), Field: field, Reason: reason}
}

func (che *checker) line(offset int) int {
	return 1 + bytes.Count(che.data[:min(offset, len(che.data))], []byte("\n"))
}

func (che *checker) typeError(err error) error {
	var ute *json.UnmarshalTypeError
	if errors.As(err, &ute) {
		reason := fmt.Sprintf("a %s doesn't fit, want %s", ute.Value, ute.Type)
		// Standardize preserves byte offsets, so the decoder's offset is the offset in the file.
		return che.fail(int(ute.Offset), ute.Field, reason)
	}
	return &FieldError{File: che.file, Field: "(file)", Reason: err.Error()}
}

// memberType returns the type of the member with the given name, and whether the
// member is known. The type is nil if the member's value isn't checked.
func memberType(typ reflect.Type, name string) (reflect.Type, bool) {
	switch typ.Kind() {
	case reflect.Struct:
		field, known := typ.FieldByName(name)
		if !known || !field.IsExported() {
			return nil, false
		}
		return field.Type, true
	case reflect.Map:
		return typ.Elem(), true
	default:
		return nil, true
	}
}

func hasOwnDecoder(typ reflect.Type) bool {
	ptr := reflect.PointerTo(typ)
	return ptr.Implements(reflect.TypeFor[json.Unmarshaler]()) ||
		ptr.Implements(reflect.TypeFor[interface{ UnmarshalText([]byte) error }]())
}

func join(path, name string) string {
	if name == "" {
		// An empty name must be visible in the error.
		name = `""`
	}
	if path == "" {
		return name
	}
	return path + "." + name
}
