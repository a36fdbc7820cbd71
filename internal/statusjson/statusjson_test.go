package statusjson

import "testing"

func TestEarlierNamesAreRead(t *testing.T) {
	earlier := map[string]string{"site": "zone"}
	for text, want := range map[string]string{
		`{"site":"a"}`: "a", `{"zone":"b"}`: "b", `{"site":"a","zone":"b"}`: "b", `{}`: "",
	} {
		var got struct {
			Zone string `json:"zone"`
		}
		if err := Decode([]byte(text), earlier, &got); err != nil || got.Zone != want {
			t.Errorf("%s: %q, %v", text, got.Zone, err)
		}
	}
	if err := Decode([]byte("7"), earlier, new(struct{})); err == nil {
		t.Error("a number was read as an object")
	}
}
