// Package answer holds the end of a call: a whole response, or a refusal that says whether the call may have run.
package answer
