// Package logger writes JSON log lines without blocking the caller: lines go through bounded queues to one writer
// goroutine. A line is dropped if its queue is full; warnings and errors have a queue of their own, so that other lines
// do not displace them. The number of dropped lines is logged.
package logger
