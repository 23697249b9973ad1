// Package reporter runs the measurements that packages register and prints their figures as JSON lines.
package reporter
