// Package apierr defines the error that callers receive if a request fails.
//
// Each error has an outcome. It is OutcomeNotRun only if no byte of the request
// was sent to an endpoint, or if the endpoint confirmed that it had not started
// the request. It is OutcomeRan if an endpoint is known to have run at least a part
// of the request, and OutcomeUnknown otherwise.
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
	OutcomeRan     Outcome = "ran"     // an endpoint has run the request, perhaps only in part
	OutcomeNotRun  Outcome = "not-run" // the request has not run and will not
	OutcomeUnknown Outcome = "unknown" // the request may have run
)

// Code identifies a kind of error. Codes do not change, since callers match them.
type Code string

// The error codes.
const (
	CodeBadRequest   Code = "bad-request"  // the request is malformed
	CodeBadDocument  Code = "bad-document" // the document is not valid
	CodeUnauthorized Code = "unauthorized" // the key is missing or not known
	CodeForbidden    Code = "forbidden"    // the key or token does not permit the request
	CodeNotFound     Code = "not-found"    // no such path, route, model or document
	CodeNoService    Code = "no-service"   // no such service
	CodeNoCall       Code = "no-call"      // the service has no call of this method and path
	CodeBadMethod    Code = "bad-method"   // the path does not accept the method
	CodeTooLarge     Code = "too-large"    // the header or body exceeds its limit
	CodeConflict     Code = "conflict"     // the edit is based on an old revision, or names another team's service
	CodeKeyReused    Code = "key-reused"   // the idempotency key was used for another call
	CodeInProgress   Code = "in-progress"  // another request holds the claim of the call
	CodeOverload     Code = "overload"     // the request was shed
	CodeDeadline     Code = "deadline"     // no endpoint became free, or no response arrived, in time
	CodeUnavailable  Code = "unavailable"  // a node, endpoint or service cannot be used now
	CodeQuarantined  Code = "quarantined"  // requests like this one crash endpoints
	CodeLost         Code = "lost"         // the response was lost
	CodeInternal     Code = "internal"     // the program itself failed
)

// Error is an error as callers receive it.
type Error struct {
	Status     int // HTTP status
	Code       Code
	Message    string
	Outcome    Outcome
	Request    string        // id of the request; empty if it has none
	RetryAfter time.Duration // time from now after which a retry is useful; zero if none is advised
}

// Error returns the message, the code and the outcome.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, outcome %s)", e.Message, e.Code, e.Outcome)
}

// NotRun returns an error for a request that has not run.
func NotRun(status int, code Code, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Outcome: OutcomeNotRun}
}

// Unknown returns an error for a request that may or may not have run.
func Unknown(status int, code Code, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Outcome: OutcomeUnknown}
}

// WithRequest returns a copy of e with the id of a request.
func (e *Error) WithRequest(id string) *Error {
	next := *e
	next.Request = id
	return &next
}

// WithRetryAfter returns a copy of e that advises a retry after the given time.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	next := *e
	next.RetryAfter = after
	return &next
}

// WithOutcome returns a copy of e with another outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	next := *e
	next.Outcome = o
	return &next
}

// errorBody is the JSON form of an Error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"` // whether the caller or the server is at fault
	Code    Code    `json:"code"`
	Outcome Outcome `json:"outcome"`
	Request string  `json:"request,omitempty"`
	Status  int     `json:"status"`
}

// MarshalJSON returns the JSON form of e.
func (e *Error) MarshalJSON() ([]byte, error) {
	errorType := "server_error"
	if e.Status < fasthttp.StatusInternalServerError {
		errorType = "invalid_request_error"
	}
	return json.Marshal(errorBody{Error: errorDetail{
		Message: e.Message,
		Type:    errorType,
		Code:    e.Code,
		Outcome: e.Outcome,
		Request: e.Request,
		Status:  e.Status,
	}})
}

// UnmarshalJSON reads the JSON form into e. RetryAfter becomes zero, since the JSON
// form does not contain it.
func (e *Error) UnmarshalJSON(data []byte) error {
	var b errorBody
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

// Write makes e the response to an HTTP request, with a Retry-After header if a
// retry is advised.
func (e *Error) Write(ctx *fasthttp.RequestCtx) {
	data, err := e.MarshalJSON()
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.ResetBody()
	ctx.SetStatusCode(e.Status)
	ctx.SetContentType("application/json")
	if e.RetryAfter > 0 {
		seconds := int((e.RetryAfter + time.Second - 1) / time.Second)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, fmt.Sprint(seconds))
	}
	ctx.SetBody(data)
}
