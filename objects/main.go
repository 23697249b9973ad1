package main

import (
	"os"

	"wisteriaspoke.example/mesh/kernel"

	_ "wisteriaspoke.example/objects/injector"
	_ "wisteriaspoke.example/objects/keeper"
	_ "wisteriaspoke.example/objects/meter"
	_ "wisteriaspoke.example/objects/server"
	_ "wisteriaspoke.example/objects/throttle"
)

func main() {
	const description = "In-memory object store that follows the conventions of the Kubernetes API."
	os.Exit(kernel.Main("wisteriaspoke-objects", description, os.Args[1:]))
}
