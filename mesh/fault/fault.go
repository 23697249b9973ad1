package fault

import (
	"errors"
	"fmt"
)

// Kind classifies an error by what the reader can do about it.
type Kind string

// The kinds of errors.
const (
	Invalid     Kind = "invalid"     // input breaks a rule; correct it
	Conflict    Kind = "conflict"    // another writer won; read again and decide
	NotFound    Kind = "notfound"    // the named object does not exist
	Unavailable Kind = "unavailable" // a dependency does not answer; retry later
	Throttled   Kind = "throttled"   // a rate or a size limit was reached
	Denied      Kind = "denied"      // the credential is missing or wrong
	Gone        Kind = "gone"        // the version to watch from is too old
	NotRun      Kind = "notrun"      // a call that provably did not reach the upstream
	MayHaveRun  Kind = "mayhaverun"  // a call that may have reached the upstream
)

// Error says what went wrong and names the remedy.
type Error struct {
	kind   Kind
	what   string
	remedy string
	cause  error
}

// New returns an Error of the kind, with what was wrong and the remedy.
func New(kind Kind, what, remedy string) *Error {
	return &Error{kind: kind, what: what, remedy: remedy}
}

// Wrap returns an Error that keeps the cause for errors.Is and errors.As.
func Wrap(kind Kind, cause error, what, remedy string) *Error {
	return &Error{kind: kind, what: what, remedy: remedy, cause: cause}
}

// Error returns the message with its remedy.
func (e *Error) Error() string {
	what := e.what
	if e.cause != nil {
		what = fmt.Sprintf("%s: %v", e.what, e.cause)
	}
	if e.remedy == "" {
		return what
	}
	return what + "; " + e.remedy
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Message returns what was wrong.
func (e *Error) Message() string { return e.what }

// Remedy returns what the reader can do.
func (e *Error) Remedy() string { return e.remedy }

// KindOf returns the kind of the first Error in the chain of err, or the empty Kind.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return ""
}
