package wire

import (
	"encoding"
	"encoding/gob"
	"errors"
	"fmt"
	"go/token"
	"io"
	"reflect"
	"slices"
	"sync"
)

// ErrUnsupported marks types that have a tag on some field and cannot be given
// other names in place: those with unexported fields, interfaces, maps whose keys
// or elements have tags, types that contain themselves, and names that are empty,
// unexported or used twice.
var ErrUnsupported = errors.New("type cannot have wire names")

// mirrors holds the result for each type that was asked for.
var mirrors sync.Map // reflect.Type -> mirror

// mirror is the type that gob gets for a Go type, or why there is none.
type mirror struct {
	of  reflect.Type
	err error
}

// TypeOf is the type that gob gets for a Go type: the same one if no field below
// it has a tag, else one with the same memory layout and the names on the wire.
func TypeOf(of reflect.Type) (mirrored reflect.Type, err error) {
	if found, ok := mirrors.Load(of); ok {
		return found.(mirror).of, found.(mirror).err
	}
	if !tagged(of, nil) {
		mirrors.Store(of, mirror{of: of})
		return of, nil
	}
	mirrored, err = build(of, nil)
	if err == nil {
		err = sameLayout(of, mirrored)
	}
	if err == nil {
		err = introduce(mirrored)
	}
	if err != nil {
		mirrored = nil
	}
	mirrors.Store(of, mirror{of: mirrored, err: err})
	return mirrored, err
}

// tagged reports whether a field below a type has a tag. Types within which the
// question is open are passed down, since a type may contain itself.
func tagged(of reflect.Type, open []reflect.Type) (has bool) {
	if ownEncoding(of) || slices.Contains(open, of) {
		return false
	}
	open = append(open, of)
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		return tagged(of.Elem(), open)
	case reflect.Map:
		return tagged(of.Key(), open) || tagged(of.Elem(), open)
	case reflect.Struct:
		for i := range of.NumField() {
			if _, has = of.Field(i).Tag.Lookup("wire"); has || tagged(of.Field(i).Type, open) {
				return true
			}
		}
	}
	return false
}

// ownEncoding reports whether gob leaves the encoding to the type itself.
func ownEncoding(of reflect.Type) (own bool) {
	pointer := reflect.PointerTo(of)
	return pointer.Implements(reflect.TypeFor[gob.GobEncoder]()) ||
		pointer.Implements(reflect.TypeFor[encoding.BinaryMarshaler]())
}

// inner is the mirrored type of a part of another one.
func inner(of reflect.Type, open []reflect.Type) (mirrored reflect.Type, err error) {
	if !tagged(of, nil) {
		return of, nil
	}
	if slices.Contains(open, of) {
		return nil, fmt.Errorf("%w: %v contains itself", ErrUnsupported, of)
	}
	if mirrored, err = build(of, open); err != nil {
		return nil, err
	}
	return mirrored, introduce(mirrored)
}

// introduce shows a type to gob after the types inside it. gob names a type once,
// by the place where it first saw it, and sends the name with the type: of a
// struct without a name that first stood in a field this is its whole text. At the
// top it has no name at all.
func introduce(mirrored reflect.Type) (err error) {
	if mirrored.Kind() == reflect.Pointer {
		return nil // gob knows only what it points to
	}
	return gob.NewEncoder(io.Discard).EncodeValue(reflect.New(mirrored))
}

// build makes the mirrored type of one that has tags. The types around it are
// passed down to notice one that contains itself.
func build(of reflect.Type, open []reflect.Type) (mirrored reflect.Type, err error) {
	open = append(open, of)
	switch of.Kind() {
	case reflect.Struct:
		return buildStruct(of, open)
	case reflect.Pointer, reflect.Slice, reflect.Array:
		element, err := inner(of.Elem(), open)
		if err != nil {
			return nil, err
		}
		switch of.Kind() {
		case reflect.Pointer:
			return reflect.PointerTo(element), nil
		case reflect.Slice:
			return reflect.SliceOf(element), nil
		}
		return reflect.ArrayOf(of.Len(), element), nil
	}
	// A map is laid out by its type, so it cannot be read as one of another type.
	return nil, fmt.Errorf("%w: %v has tags below it", ErrUnsupported, of)
}

func buildStruct(of reflect.Type, open []reflect.Type) (mirrored reflect.Type, err error) {
	fields := make([]reflect.StructField, of.NumField())
	used := map[string]string{}
	for i := range fields {
		field := of.Field(i)
		name := field.Name
		if tag, has := field.Tag.Lookup("wire"); has {
			name = tag
		}
		switch {
		case !field.IsExported():
			return nil, fmt.Errorf("%w: field %s of %v is not exported", ErrUnsupported, field.Name, of)
		case !token.IsIdentifier(name) || !token.IsExported(name):
			return nil, fmt.Errorf("%w: name %q of field %s of %v", ErrUnsupported, name, field.Name, of)
		case used[name] != "":
			return nil, fmt.Errorf("%w: fields %s and %s of %v are both called %s",
				ErrUnsupported, used[name], field.Name, of, name)
		case containsInterface(field.Type, nil):
			return nil, fmt.Errorf("%w: field %s of %v holds an interface", ErrUnsupported, field.Name, of)
		}
		used[name] = field.Name
		inside, err := inner(field.Type, open)
		if err != nil {
			return nil, err
		}
		fields[i] = reflect.StructField{Name: name, Type: inside}
	}
	return reflect.StructOf(fields), nil
}

// containsInterface reports whether a value of a type may hold one of any other type,
// whose names nobody has looked at.
func containsInterface(of reflect.Type, open []reflect.Type) (contains bool) {
	if ownEncoding(of) || slices.Contains(open, of) {
		return false
	}
	open = append(open, of)
	switch of.Kind() {
	case reflect.Interface:
		return true
	case reflect.Pointer, reflect.Slice, reflect.Array:
		return containsInterface(of.Elem(), open)
	case reflect.Map:
		return containsInterface(of.Key(), open) || containsInterface(of.Elem(), open)
	case reflect.Struct:
		for i := range of.NumField() {
			if of.Field(i).IsExported() && containsInterface(of.Field(i).Type, open) {
				return true
			}
		}
	}
	return false
}

// sameLayout checks that a value of one type can be read in place as one of the
// other: equal kinds, sizes and offsets all the way down.
func sameLayout(of, mirrored reflect.Type) (err error) {
	if of == mirrored {
		return nil
	}
	if of.Kind() != mirrored.Kind() || of.Size() != mirrored.Size() ||
		of.Align() != mirrored.Align() || of.FieldAlign() != mirrored.FieldAlign() {
		return fmt.Errorf("%w: layout of %v differs from that of %v", ErrUnsupported, of, mirrored)
	}
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		return sameLayout(of.Elem(), mirrored.Elem())
	case reflect.Struct:
		for i := range of.NumField() {
			if of.Field(i).Offset != mirrored.Field(i).Offset {
				return fmt.Errorf("%w: field %s of %v is moved", ErrUnsupported, of.Field(i).Name, of)
			}
			if err = sameLayout(of.Field(i).Type, mirrored.Field(i).Type); err != nil {
				return err
			}
		}
	}
	return nil
}
