// Package apierr defines the one shape in which callers learn that a request
// did not succeed.
//
// Each error names an outcome. It is OutcomeNotRun only where no byte of the
// request was handed to an endpoint, or where the endpoint confirmed that it
// had not started; where that cannot be known it is OutcomeUnknown.
package apierr

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// Outcome says whether a request took effect.
type Outcome string

// The outcomes of a request.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Code is a short, stable name of an error.
type Code string

// The codes.
const (
	CodeBadRequest   Code = "bad-request"
	CodeBadDocument  Code = "bad-document"
	CodeUnauthorized Code = "unauthorized"
	CodeForbidden    Code = "forbidden"
	CodeNotFound     Code = "not-found"
	CodeNoService    Code = "no-service"
	CodeNoCall       Code = "no-call"
	CodeBadMethod    Code = "bad-method"
	CodeTooLarge     Code = "too-large"
	CodeConflict     Code = "conflict"
	CodeKeyReused    Code = "key-reused"
	CodeInProgress   Code = "in-progress"
	CodeOverload     Code = "overload"
	CodeDeadline     Code = "deadline"
	CodeUnavailable  Code = "unavailable"
	CodeLost         Code = "lost"
	CodeInternal     Code = "internal"
)

// Error is an error as callers see it.
type Error struct {
	Status  int
	Code    Code
	Message string
	Outcome Outcome
	Request string        // id of the request, if it has one
	Retry   time.Duration // earliest useful retry from now; zero if none is advised
}

// Error returns the message with its code and outcome.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, outcome %s)", e.Message, e.Code, e.Outcome)
}

// NotRun returns an error for a request that has not run.
func NotRun(status int, code Code, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Outcome: OutcomeNotRun}
}

// Unknown returns an error for a request that may have run.
func Unknown(status int, code Code, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Outcome: OutcomeUnknown}
}

// WithRequest returns a copy of e that names a request.
func (e *Error) WithRequest(id string) *Error {
	next := *e
	next.Request = id
	return &next
}

// WithRetry returns a copy of e that advises when to retry.
func (e *Error) WithRetry(after time.Duration) *Error {
	next := *e
	next.Retry = after
	return &next
}

// WithOutcome returns a copy of e with another outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	next := *e
	next.Outcome = o
	return &next
}

// body is the JSON form.
type body struct {
	Error detail `json:"error"`
}

type detail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    Code    `json:"code"`
	Outcome Outcome `json:"outcome"`
	Request string  `json:"request,omitempty"`
	Status  int     `json:"status"`
}

// MarshalJSON returns the JSON form.
func (e *Error) MarshalJSON() ([]byte, error) {
	kind := "server_error"
	if e.Status < fasthttp.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return json.Marshal(body{Error: detail{
		Message: e.Message,
		Type:    kind,
		Code:    e.Code,
		Outcome: e.Outcome,
		Request: e.Request,
		Status:  e.Status,
	}})
}

// UnmarshalJSON reads the JSON form.
func (e *Error) UnmarshalJSON(data []byte) error {
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return err
	}
	*e = Error{
		Status:  b.Error.Status,
		Code:    b.Error.Code,
		Message: b.Error.Message,
		Outcome: b.Error.Outcome,
		Request: b.Error.Request,
	}
	return nil
}

// Write makes e the response of an HTTP request.
func (e *Error) Write(ctx *fasthttp.RequestCtx) {
	data, err := e.MarshalJSON()
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.ResetBody()
	ctx.SetStatusCode(e.Status)
	ctx.SetContentType("application/json")
	if e.Retry > 0 {
		seconds := int((e.Retry + time.Second - 1) / time.Second)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, fmt.Sprint(seconds))
	}
	ctx.SetBody(data)
}
