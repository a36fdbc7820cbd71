// Package statusjson reads the JSON in which daemons tell of themselves. Daemons
// of two releases run side by side during an upgrade, so fields are read by their
// names of the release before as well. It holds no state.
package statusjson

import "encoding/json"

// Decode reads an object into a struct. earlier gives the current name for each
// earlier name of a field; a field that has its current name is read by that.
func Decode(text []byte, earlier map[string]string, into any) (err error) {
	var fields map[string]json.RawMessage
	if err = json.Unmarshal(text, &fields); err != nil {
		return err
	}
	renamed := false
	for was, is := range earlier {
		value, found := fields[was]
		if _, current := fields[is]; found && !current {
			fields[is], renamed = value, true
		}
	}
	if renamed {
		if text, err = json.Marshal(fields); err != nil {
			return err
		}
	}
	return json.Unmarshal(text, into)
}
