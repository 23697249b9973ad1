// Command wisteriaspoke-stub is a small upstream for the demo and the tests.
package main
