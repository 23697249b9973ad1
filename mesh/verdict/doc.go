// Package verdict holds the final judgement that a version is bad.
package verdict
