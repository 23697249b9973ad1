// Command wisteriaspoke-bench prints the project's figures as JSON lines.
package main
