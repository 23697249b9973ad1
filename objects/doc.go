// Command wisteriaspoke-objects is an in-memory substitute for the platform's object API, for the demo and tests.
package main
