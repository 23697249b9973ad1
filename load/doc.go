// Command wisteriaspoke-load sends calls at a fixed rate and prints what came back as one JSON object.
package main
