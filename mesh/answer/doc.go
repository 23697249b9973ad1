// Package answer defines the result of a call: a complete response, or a refusal or failure that states whether the
// call may have run.
package answer
