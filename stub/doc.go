// Command wisteriaspoke-stub is a configurable upstream for the demo and the tests.
package main
