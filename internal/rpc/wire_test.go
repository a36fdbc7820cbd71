// Checks of the wire format that compare what gob sends with golden files. The
// shape of a type is the names of its fields and their kinds, as gob writes them;
// the Go names of types are left out, since no decoder looks at them. A golden
// file stays as it is when another type with the same field names takes the
// place of the one it was made from.
package rpc

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

// missing tells that a fixture is to be written.
func missing(path string) (write bool) {
	if !*update {
		return false
	}
	_, err := os.Stat(path)
	return errors.Is(err, os.ErrNotExist)
}

// wireFixture is one type that is stored or sent, with a value of which every
// field is filled. Its name is that of its files and does not follow the Go name.
type wireFixture struct {
	name  string
	value any
}

func (f wireFixture) path(extension string) (path string) {
	return filepath.Join("testdata", "wire", f.name+extension)
}

func gobBytes(t *testing.T, value any) (data []byte) {
	t.Helper()
	var buffer bytes.Buffer
	if err := wire.Encode(gob.NewEncoder(&buffer), value); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

// gobValue decodes into a new value of the sample's type.
func gobValue(t *testing.T, data []byte, sample any) (value any) {
	t.Helper()
	into := reflect.New(reflect.TypeOf(sample))
	if err := wire.Unmarshal(data, into.Interface()); err != nil {
		t.Fatal(err)
	}
	return into.Elem().Interface()
}

func readFixture(t *testing.T, path string) (data []byte) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func writeFixture(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		t.Fatal(err)
	}
}

// checkWire decodes each fixture and compares it with its value, the shape of its
// type with the golden file, and a value of that type with every field filled by
// reflection with what comes back from gob.
func checkWire(t *testing.T, fixtures []wireFixture) {
	t.Helper()
	known := map[string]bool{}
	for _, fixture := range fixtures {
		known[fixture.name] = true
		t.Run(fixture.name, func(t *testing.T) {
			if empty := emptyField(reflect.ValueOf(fixture.value), fixture.name); empty != "" {
				t.Errorf("%s is not filled", empty)
			}
			if missing(fixture.path(".gob")) {
				writeFixture(t, fixture.path(".gob"), gobBytes(t, fixture.value))
			}
			if missing(fixture.path(".txt")) {
				writeFixture(t, fixture.path(".txt"), []byte(wireShape(t, reflect.TypeOf(fixture.value))))
			}
			if diff := cmp.Diff(fixture.value, gobValue(t, readFixture(t, fixture.path(".gob")), fixture.value)); diff != "" {
				t.Errorf("decoded value (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(string(readFixture(t, fixture.path(".txt"))), wireShape(t, reflect.TypeOf(fixture.value))); diff != "" {
				t.Errorf("field names on the wire (-golden +now):\n%s", diff)
			}
			filled, count := reflect.New(reflect.TypeOf(fixture.value)).Elem(), 0
			fill(t, filled, &count)
			if diff := cmp.Diff(filled.Interface(), gobValue(t, gobBytes(t, filled.Interface()), fixture.value)); diff != "" {
				t.Errorf("round trip of %d filled fields (-want +got):\n%s", count, diff)
			}
		})
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

// wireShape writes the fields that gob sends of a type, one a line, those of an
// inner struct indented below it.
func wireShape(t *testing.T, of reflect.Type) (shape string) {
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

// fill sets every exported field below a value to one that is not zero, and each
// to another one.
func fill(t *testing.T, value reflect.Value, count *int) {
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
		fill(t, value.Elem(), count)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		for i := range value.Len() {
			fill(t, value.Index(i), count)
		}
	case reflect.Array:
		for i := range value.Len() {
			fill(t, value.Index(i), count)
		}
	case reflect.Map:
		value.Set(reflect.MakeMap(value.Type()))
		for range 2 {
			key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
			fill(t, key, count)
			fill(t, element, count)
			value.SetMapIndex(key, element)
		}
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).IsExported() {
				fill(t, value.Field(i), count)
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
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() {
				if empty = emptyField(value.Field(i), path+"."+field.Name); empty != "" {
					return empty
				}
			}
		}
		return ""
	case reflect.Slice:
		empty = path
		for i := range value.Len() {
			if empty = emptyField(value.Index(i), path); empty == "" || value.Type().Elem().Kind() == reflect.Uint8 {
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
