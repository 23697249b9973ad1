// Command wisteriaspoke is the operators' command line.
package main
