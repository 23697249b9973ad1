// Package verdict defines the final judgement that a new version is bad.
package verdict
