// Package chooser decides which endpoint an attempt goes to, by the time until its answer is expected.
package chooser
