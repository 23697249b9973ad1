package fault

import (
	"errors"
	"fmt"
)

// Kind classifies an error by what its recipient can do about it.
type Kind string

// The kinds of errors.
const (
	Invalid     Kind = "invalid"     // input breaks a rule; correct it
	Conflict    Kind = "conflict"    // another writer changed the object first; read it again before writing
	NotFound    Kind = "notfound"    // the named object does not exist
	Unavailable Kind = "unavailable" // a dependency does not respond; retry later
	Throttled   Kind = "throttled"   // a rate limit or size limit was reached
	Denied      Kind = "denied"      // the credential is missing or wrong
	Gone        Kind = "gone"        // the revision to watch from is too old
	NotRun      Kind = "notrun"      // the call certainly did not reach the upstream
	MayHaveRun  Kind = "mayhaverun"  // the call may have reached the upstream
)

// Error describes what went wrong and how to remedy it.
type Error struct {
	kind    Kind
	message string
	remedy  string
	cause   error
}

// New returns an Error with the message and the remedy, which may be empty.
func New(kind Kind, message, remedy string) *Error {
	return &Error{kind: kind, message: message, remedy: remedy}
}

// Wrap is like New, with a cause that errors.Is and errors.As find.
func Wrap(kind Kind, cause error, message, remedy string) *Error {
	return &Error{kind: kind, message: message, remedy: remedy, cause: cause}
}

// Error returns the message, the cause and the remedy.
func (e *Error) Error() string {
	text := e.message
	if e.cause != nil {
		text = fmt.Sprintf("%s: %v", e.message, e.cause)
	}
	if e.remedy == "" {
		return text
	}
	return text + "; " + e.remedy
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Message returns what went wrong, without the cause and the remedy.
func (e *Error) Message() string { return e.message }

// Remedy returns what the recipient can do, or the empty string.
func (e *Error) Remedy() string { return e.remedy }

// KindOf returns the kind of the first Error in err's chain, or the empty Kind if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return ""
}
