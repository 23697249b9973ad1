// Package sizer estimates the size of a route's next answer from the earlier ones.
package sizer
