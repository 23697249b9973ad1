// Package logger writes log lines without ever making the one who logs wait: lines go through a bounded queue to one
// writer. When it is full, plain lines are dropped before warnings, and the number of dropped lines is logged.
package logger
