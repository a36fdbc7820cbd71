package adminclient

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"tinpin/internal/http1"
)

const (
	// callTimeout bounds the call to one address.
	callTimeout = 3 * time.Second
	// maxAnswerBytes bounds the answer that is read.
	maxAnswerBytes = 8 << 20
	// requestNameQuery begins the query that carries a request's name.
	requestNameQuery = "?order="
)

// ErrNoAddress is returned where a Client has no addresses.
var ErrNoAddress = errors.New("no control address is given")

// RejectedError is a final answer: no other controller would give another one,
// and nothing of the request is in force.
type RejectedError struct{ Text string }

func (e *RejectedError) Error() string { return "refused: " + e.Text }

// OutcomeUnknownError tells that nobody answered whether a request is in force.
type OutcomeUnknownError struct {
	// RequestName is the name to send the same request with, empty for a request
	// that has a version.
	RequestName string
	// Err is what the last address failed with.
	Err error
}

func (e *OutcomeUnknownError) Error() string {
	again := "the same may be sent again"
	if e.RequestName != "" {
		again += " with -order " + e.RequestName
	}
	return "no clear answer, " + again + ": " + e.Err.Error()
}

// Unwrap gives what the last address failed with.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// withRequestName adds the request's name, the same for each address tried.
func (c *Client) withRequestName(path string) (full string) {
	name := c.RequestName
	if name == "" {
		name = rand.Text()
	}
	return path + requestNameQuery + url.QueryEscape(name)
}

// requestNameOf reads back the name that withRequestName added.
func requestNameOf(path string) (name string) {
	_, escaped, _ := strings.Cut(path, requestNameQuery)
	name, err := url.QueryUnescape(escaped)
	if err != nil {
		return ""
	}
	return name
}

// call tries each address; an answer below 500 is the answer. Where none has one,
// nobody can say whether the request is in force, and it may be sent again.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (answer []byte, err error) {
	err = ErrNoAddress
	for _, address := range c.Addresses {
		answer, err = c.callOne(ctx, method, "http://"+address+path, body)
		if err == nil || errors.As(err, new(*RejectedError)) {
			return answer, err
		}
	}
	if method == http.MethodPost {
		return nil, &OutcomeUnknownError{RequestName: requestNameOf(path), Err: err}
	}
	return nil, err
}

func (c *Client) callOne(ctx context.Context, method, target string, body []byte) (answer []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if answer, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes)); err != nil {
		return nil, fmt.Errorf("reading the answer of %s: %w", target, err)
	}
	if err = http1.CheckParsed(response); err != nil {
		return nil, fmt.Errorf("reading the answer of %s: %w", target, err)
	}
	if response.StatusCode == http.StatusOK {
		return answer, nil
	}
	return nil, statusError(response.StatusCode, answer)
}

// statusError is what an answer other than 200 means.
func statusError(status int, answer []byte) (err error) {
	var failure struct {
		Text string `json:"error_message"`
	}
	_ = json.Unmarshal(answer, &failure)
	switch {
	case status == http.StatusConflict:
		return &RejectedError{"another order was taken under this version: " + failure.Text}
	case status < http.StatusInternalServerError:
		return &RejectedError{failure.Text}
	}
	return fmt.Errorf("%d %s", status, failure.Text)
}
