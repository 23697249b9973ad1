// Package plan holds one whole configuration as nodes use it, with an index from host and path to rules.
package plan
