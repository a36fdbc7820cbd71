// Package api holds the description of tinpin's own interfaces; the code in
// api/oas is generated from it and never written by hand.
package api

//go:generate go run github.com/ogen-go/ogen/cmd/ogen --target oas --package oas --clean --config ogen.yml openapi.yaml
