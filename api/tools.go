//go:build tools

package api

import _ "github.com/ogen-go/ogen/cmd/ogen"
