// Package mark holds one mark of the crash guard: that a call with a fingerprint was in flight in a crash.
package mark
