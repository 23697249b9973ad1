// Command wisteriaspoke-objects is a stand-in for the platform's object API, for the demo and tests.
package main
