// Command wisteriaspoke-load sends calls at a fixed rate and prints their results as one JSON object.
package main
