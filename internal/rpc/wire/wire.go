// Package wire separates the names of Go fields from the names that gob writes
// for them, so that a field can be renamed without a change of what is sent or
// stored.
//
// gob writes the names of struct fields, and reads a field whose name it does not
// know as zero without an error. A field that was renamed keeps its earlier name
// in a tag:
//
//	type HeartbeatRequest struct {
//		Node   `wire:"Fellow"`       // embedded fields need a tag as well
//		Load   int `wire:"Burden"`
//		Region string                // never renamed: no tag
//	}
//
// Types that are sent or stored are encoded and decoded with [Encode], [Decode],
// [Marshal] and [Unmarshal]; plain gob would write the Go names. A type without a
// tag on any field below it is handed to gob as it is.
//
// For a type with tags the package builds a second type, once, that has the same
// memory layout and the names on the wire as its field names. A value is encoded
// and decoded in place through a pointer of that second type; nothing is copied,
// and the cost is that of gob. [TypeOf] refuses types for which that is not
// safe: see [ErrUnsupported].
//
// All functions may be called from any goroutine.
package wire

import (
	"bytes"
	"encoding/gob"
	"io"
	"reflect"
)

// Encode writes a value, or what a pointer points to, with the names on the wire.
// A value that is no pointer is copied once if its type has tags.
func Encode(encoder *gob.Encoder, value any) (err error) {
	if value == nil {
		return encoder.Encode(nil)
	}
	mirrored, err := TypeOf(reflect.TypeOf(value))
	if err != nil {
		return err
	}
	if mirrored == reflect.TypeOf(value) {
		return encoder.Encode(value)
	}
	return encoder.EncodeValue(view(reflect.ValueOf(value), mirrored))
}

// Decode reads a value into what a pointer points to; nil skips the value.
func Decode(decoder *gob.Decoder, into any) (err error) {
	if into == nil {
		return decoder.DecodeValue(reflect.Value{})
	}
	mirrored, err := TypeOf(reflect.TypeOf(into))
	if err != nil {
		return err
	}
	pointer := reflect.ValueOf(into)
	if mirrored == pointer.Type() || pointer.Kind() != reflect.Pointer {
		return decoder.Decode(into)
	}
	return decoder.DecodeValue(view(pointer, mirrored))
}

// view gives a value as one of its mirrored type, without a copy if it is a pointer.
func view(value reflect.Value, mirrored reflect.Type) (viewed reflect.Value) {
	if value.Kind() == reflect.Pointer {
		return reflect.NewAt(mirrored.Elem(), value.UnsafePointer())
	}
	pointer := reflect.New(value.Type())
	pointer.Elem().Set(value)
	return reflect.NewAt(mirrored, pointer.UnsafePointer())
}

// Marshal gives the encoding of one value with the description of its type.
func Marshal(value any) (data []byte, err error) {
	var buffer bytes.Buffer
	err = Encode(gob.NewEncoder(&buffer), value)
	return buffer.Bytes(), err
}

// Unmarshal decodes one value into what a pointer points to.
func Unmarshal(data []byte, into any) (err error) { return Read(bytes.NewReader(data), into) }

// Read decodes one value from a reader into what a pointer points to.
func Read(reader io.Reader, into any) (err error) { return Decode(gob.NewDecoder(reader), into) }
