// Package planner works out from measured figures what each role costs at the target's size, as Markdown tables.
package planner
