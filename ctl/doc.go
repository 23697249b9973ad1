// Command wisteriaspoke is the operators' command-line client.
package main
