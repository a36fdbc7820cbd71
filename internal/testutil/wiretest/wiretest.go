// Package wiretest holds checks of data that is stored or sent: it compares what gob
// sends with golden files. Only tests import it, and call it from the goroutine of the
// test. The shape of a type is the names of its fields and their kinds, as gob writes them;
// the Go names of types are left out, since no decoder looks at them. A golden
// file stays as it is when another type with the same field names takes the
// place of the one it was made from.
package wiretest

import (
	"bytes"
	"encoding/gob"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"tinpin/internal/rpc/wire"
)

// update writes the fixtures that are missing. A fixture stands for bytes that
// older versions have stored or sent, so one that is there is never written over.
var update = flag.Bool("update", false, "write the fixtures of stored and sent data that are missing")

// Missing tells that a fixture is to be written.
func Missing(path string) (write bool) {
	if !*update {
		return false
	}
	_, err := os.Stat(path)
	return errors.Is(err, os.ErrNotExist)
}

// Fixture is one type that is stored or sent, with a value of which every
// field is filled. Its name is that of its files and does not follow the Go name.
type Fixture struct {
	Name  string
	Value any
}

func (f Fixture) path(extension string) (path string) {
	return filepath.Join("testdata", "wire", f.Name+extension)
}

// EncodeGob encodes a value as one gob stream.
func EncodeGob(t *testing.T, value any) (data []byte) {
	t.Helper()
	var buffer bytes.Buffer
	if err := wire.Encode(gob.NewEncoder(&buffer), value); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

// MostFrequent is the most frequent encoding of many: the order in which maps are
// encoded changes, and a fixture is to be the same each time it is written.
func MostFrequent(encode func() []byte) (data []byte) {
	times := map[string]int{}
	frequent := ""
	for range 4000 {
		now := string(encode())
		if times[now]++; times[now] > times[frequent] {
			frequent = now
		}
	}
	return []byte(frequent)
}

// DecodeGob decodes into a new value of the sample's type.
func DecodeGob(t *testing.T, data []byte, sample any) (value any) {
	t.Helper()
	into := reflect.New(reflect.TypeOf(sample))
	if err := wire.Unmarshal(data, into.Interface()); err != nil {
		t.Fatal(err)
	}
	return into.Elem().Interface()
}

// ReadFile reads a fixture.
func ReadFile(t *testing.T, path string) (data []byte) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// WriteFile writes a fixture and the folder it is in.
func WriteFile(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		t.Fatal(err)
	}
}

// FileFixture gives the bytes of a fixture in the code's own encoding.
func FileFixture(t *testing.T, name string, now []byte) (data []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if Missing(path) {
		WriteFile(t, path, now)
	}
	return ReadFile(t, path)
}

// Check decodes each fixture and compares it with its value, the shape of its
// type with the golden file, and a value of that type with every field filled by
// reflection with what comes back from gob.
func Check(t *testing.T, fixtures []Fixture) {
	t.Helper()
	known := map[string]bool{}
	for _, fixture := range fixtures {
		known[fixture.Name] = true
		t.Run(fixture.Name, fixture.check)
	}
	files, err := filepath.Glob(filepath.Join("testdata", "wire", "*.gob"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if name := strings.TrimSuffix(filepath.Base(file), ".gob"); !known[name] {
			t.Errorf("%s is compared with nothing", file)
		}
	}
	if len(files) != len(fixtures) {
		t.Errorf("%d files for %d fixtures", len(files), len(fixtures))
	}
}

func (f Fixture) check(t *testing.T) {
	if empty := emptyField(reflect.ValueOf(f.Value), f.Name); empty != "" {
		t.Errorf("%s is not filled", empty)
	}
	if Missing(f.path(".gob")) {
		WriteFile(t, f.path(".gob"), MostFrequent(func() []byte { return EncodeGob(t, f.Value) }))
	}
	if Missing(f.path(".txt")) {
		WriteFile(t, f.path(".txt"), []byte(Shape(t, reflect.TypeOf(f.Value))))
	}
	if diff := cmp.Diff(f.Value, DecodeGob(t, ReadFile(t, f.path(".gob")), f.Value)); diff != "" {
		t.Errorf("decoded value (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(string(ReadFile(t, f.path(".txt"))), Shape(t, reflect.TypeOf(f.Value))); diff != "" {
		t.Errorf("field names on the wire (-golden +now):\n%s", diff)
	}
	filled, count := reflect.New(reflect.TypeOf(f.Value)).Elem(), 0
	Fill(t, filled, &count)
	if diff := cmp.Diff(filled.Interface(), DecodeGob(t, EncodeGob(t, filled.Interface()), f.Value)); diff != "" {
		t.Errorf("round trip of %d filled fields (-want +got):\n%s", count, diff)
	}
}

// Shape writes the fields that gob sends of a type, one a line, those of an
// inner struct indented below it.
func Shape(t *testing.T, of reflect.Type) (shape string) {
	t.Helper()
	sent, err := wire.TypeOf(of)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	name, inner := wireKind(sent)
	text.WriteString(name + "\n")
	wireFields(&text, inner, "  ")
	return text.String()
}

func wireFields(text *strings.Builder, of reflect.Type, indent string) {
	if of == nil {
		return
	}
	for i := range of.NumField() {
		field := of.Field(i)
		if !field.IsExported() || field.Type.Kind() == reflect.Func || field.Type.Kind() == reflect.Chan {
			continue
		}
		name, inner := wireKind(field.Type)
		fmt.Fprintf(text, "%s%s %s\n", indent, field.Name, name)
		wireFields(text, inner, indent+"  ")
	}
}

// wireKind names the kind that gob sends, and gives the struct in it, if any.
func wireKind(of reflect.Type) (name string, inner reflect.Type) {
	if reflect.PointerTo(of).Implements(reflect.TypeFor[gob.GobEncoder]()) {
		return "own encoding", nil
	}
	switch of.Kind() {
	case reflect.Pointer:
		return wireKind(of.Elem())
	case reflect.Struct:
		return "struct", of
	case reflect.Slice, reflect.Array:
		if of.Elem().Kind() == reflect.Uint8 {
			return "bytes", nil
		}
		name, inner = wireKind(of.Elem())
		return "list of " + name, inner
	case reflect.Map:
		key, _ := wireKind(of.Key())
		name, inner = wireKind(of.Elem())
		return "map of " + key + " to " + name, inner
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "int", nil
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		return "uint", nil
	case reflect.Float32, reflect.Float64:
		return "float", nil
	}
	return of.Kind().String(), nil
}

// Fill sets every exported field below a value to one that is not zero, and each
// to another one.
func Fill(t *testing.T, value reflect.Value, count *int) {
	t.Helper()
	*count++
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(*count%127 + 1))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(*count%255 + 1))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(*count) + 0.5)
	case reflect.String:
		value.SetString(fmt.Sprint("text ", *count))
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		Fill(t, value.Elem(), count)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		for i := range value.Len() {
			Fill(t, value.Index(i), count)
		}
	case reflect.Array:
		for i := range value.Len() {
			Fill(t, value.Index(i), count)
		}
	case reflect.Map:
		value.Set(reflect.MakeMap(value.Type()))
		for range 2 {
			key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
			Fill(t, key, count)
			Fill(t, element, count)
			value.SetMapIndex(key, element)
		}
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).IsExported() {
				Fill(t, value.Field(i), count)
			}
		}
	default:
		t.Fatalf("no value for a field of kind %s", value.Kind())
	}
}

// emptyField names the first exported field below a value that is zero; of a list
// or a map one element must have all its fields.
func emptyField(value reflect.Value, path string) (empty string) {
	switch value.Kind() {
	case reflect.Pointer:
		if value.IsNil() {
			return path
		}
		return emptyField(value.Elem(), path)
	case reflect.Struct:
		return emptyStructField(value, path)
	case reflect.Slice:
		if value.Type().Elem().Kind() == reflect.Uint8 && value.Len() > 0 {
			return ""
		}
		empty = path
		for i := range value.Len() {
			if empty = emptyField(value.Index(i), path); empty == "" {
				return ""
			}
		}
		return empty
	case reflect.Map:
		empty = path
		for entries := value.MapRange(); entries.Next(); {
			if empty = emptyField(entries.Value(), path); empty == "" {
				return ""
			}
		}
		return empty
	}
	if value.IsZero() {
		return path
	}
	return ""
}

func emptyStructField(value reflect.Value, path string) (empty string) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if !field.IsExported() {
			continue
		}
		if empty = emptyField(value.Field(i), path+"."+field.Name); empty != "" {
			return empty
		}
	}
	return ""
}
