// Package planner estimates from measured figures the cost of each role at the target's size and writes it as Markdown
// tables.
package planner
