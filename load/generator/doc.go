// Package generator starts each call at its intended time, whether or not earlier calls have ended.
package generator
