// Package mark holds the crash guard's record that a call with a given fingerprint was in flight during a crash.
package mark
