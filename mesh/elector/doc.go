// Package elector elects the nodes that do work for the whole mesh. Two nodes with different views may both consider
// themselves elected for a moment; the store's conditional writes make this harmless.
package elector
