package wire

import (
	"bytes"
	"encoding/gob"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

type oldPart struct {
	Site string
	At   time.Time
}

// oldMessage is a message under the names that are on the wire.
type oldMessage struct {
	oldBase
	Fellow oldPart
	Parts  []oldPart
	Next   *oldPart
	Pair   [2]oldPart
	Plain  map[string]int
	Count  uint8
}

type oldBase struct{ Unsent int }

type newPart struct {
	Zone string `wire:"Site"`
	At   time.Time
}

// message is the same under other names.
type message struct {
	newPart `wire:"Fellow"`
	Shards  []newPart  `wire:"Parts"`
	Follow  *newPart   `wire:"Next"`
	Both    [2]newPart `wire:"Pair"`
	Plain   map[string]int
	Number  uint8 `wire:"Count"`
}

// Message has its embedded part exported, as gob demands.
type Message struct {
	Part   `wire:"Fellow"`
	Shards []Part  `wire:"Parts"`
	Follow *Part   `wire:"Next"`
	Both   [2]Part `wire:"Pair"`
	Plain  map[string]int
	Number uint8 `wire:"Count"`
}

// Part is a part of it.
type Part struct {
	Zone string `wire:"Site"`
	At   time.Time
}

var (
	at      = time.Unix(1800000000, 0).UTC()
	earlier = oldMessage{
		Fellow: oldPart{"a", at}, Parts: []oldPart{{"b", at}, {"c", at}}, Next: &oldPart{"d", at},
		Pair: [2]oldPart{{"e", at}, {"f", at}}, Plain: map[string]int{"g": 1}, Count: 7,
	}
	renamed = Message{
		Part: Part{"a", at}, Shards: []Part{{"b", at}, {"c", at}}, Follow: &Part{"d", at},
		Both: [2]Part{{"e", at}, {"f", at}}, Plain: map[string]int{"g": 1}, Number: 7,
	}
)

func TestRenamedFieldsAreReadFromEarlierNames(t *testing.T) {
	var sent bytes.Buffer
	if err := gob.NewEncoder(&sent).Encode(earlier); err != nil {
		t.Fatal(err)
	}
	var got Message
	if err := Unmarshal(sent.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(renamed, got); diff != "" {
		t.Error(diff)
	}
}

func TestRenamedFieldsAreWrittenUnderEarlierNames(t *testing.T) {
	pointer := &renamed
	for name, value := range map[string]any{"value": renamed, "pointer": &renamed, "pointer to pointer": &pointer} {
		data, err := Marshal(value)
		if err != nil {
			t.Fatal(name, err)
		}
		var got oldMessage
		if err = gob.NewDecoder(bytes.NewReader(data)).Decode(&got); err != nil {
			t.Fatal(name, err)
		}
		if diff := cmp.Diff(earlier, got, cmp.AllowUnexported(oldMessage{}, oldBase{})); diff != "" {
			t.Error(name, diff)
		}
		if bytes.Contains(data, []byte("struct {")) {
			t.Errorf("%s: the text of a struct is sent: %q", name, data)
		}
	}
}

func TestTypesWithoutTagsAreLeftAsTheyAre(t *testing.T) {
	type loop struct {
		Next *loop
		Any  any
	}
	for _, value := range []any{0, "", oldMessage{}, &oldMessage{}, []oldPart{}, map[string]oldPart{}, loop{}, struct{}{}, at} {
		of := reflect.TypeOf(value)
		if got, err := TypeOf(of); got != of || err != nil {
			t.Errorf("%v: %v %v", of, got, err)
		}
	}
}

type containsItself struct {
	Next *containsItself
	Name string `wire:"Old"`
}

func TestTypesThatCannotBeMirroredAreRefused(t *testing.T) {
	for name, value := range map[string]any{
		"unexported field": struct {
			Zone  string `wire:"Site"`
			count int
		}{},
		"unexported embedded": message{},
		"interface": struct {
			Zone string `wire:"Site"`
			Any  any
		}{},
		"interface further down": struct {
			Zone string `wire:"Site"`
			Any  []struct{ Err error }
		}{},
		"map":             struct{ Parts map[string]Part }{},
		"key":             struct{ Parts map[Part]string }{},
		"contains itself": containsItself{},
		"same name twice": struct {
			Site string
			Zone string `wire:"Site"`
		}{},
		"no name": struct {
			Zone string `wire:""`
		}{},
		"unexported name": struct {
			Zone string `wire:"site"`
		}{},
		"no identifier": struct {
			Zone string `wire:"Site,omitempty"`
		}{},
	} {
		if _, err := TypeOf(reflect.TypeOf(value)); !errors.Is(err, ErrUnsupported) {
			t.Errorf("%s: %v", name, err)
		}
		if _, err := Marshal(value); !errors.Is(err, ErrUnsupported) {
			t.Errorf("%s: %v", name, err)
		}
		if err := Unmarshal(nil, reflect.New(reflect.TypeOf(value)).Interface()); !errors.Is(err, ErrUnsupported) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestDecodeRefusesWhatGobRefuses(t *testing.T) {
	data, err := Marshal(renamed)
	if err != nil {
		t.Fatal(err)
	}
	if err = Unmarshal(data, Message{}); err == nil || !strings.Contains(err.Error(), "pointer") {
		t.Errorf("decoded into a value: %v", err)
	}
	if err = Unmarshal(data, (*Message)(nil)); err == nil {
		t.Error("decoded into a nil pointer")
	}
	if err = Decode(gob.NewDecoder(bytes.NewReader(data)), nil); err != nil {
		t.Errorf("skipping a value: %v", err)
	}
	for cut := range data {
		var got Message
		if err = Unmarshal(data[:cut], &got); err == nil {
			t.Errorf("%d of %d bytes were taken", cut, len(data))
		}
	}
}
