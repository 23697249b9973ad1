// Package explainer is the part that tells where a request would go now and why, without sending it.
package explainer
