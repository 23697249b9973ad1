package main

import (
	"os"

	_ "wisteriaspoke.example/mesh/admitter"
	_ "wisteriaspoke.example/mesh/dispatcher"
	_ "wisteriaspoke.example/mesh/driver"
	_ "wisteriaspoke.example/mesh/identity"
	_ "wisteriaspoke.example/mesh/isolator"
	"wisteriaspoke.example/mesh/kernel"
	_ "wisteriaspoke.example/mesh/linker"
	_ "wisteriaspoke.example/mesh/meter"
	_ "wisteriaspoke.example/mesh/objectclient"
	_ "wisteriaspoke.example/mesh/operator"
	_ "wisteriaspoke.example/mesh/publisher"
	_ "wisteriaspoke.example/mesh/registrar"
	_ "wisteriaspoke.example/mesh/relayer"
	_ "wisteriaspoke.example/mesh/reserver"
	_ "wisteriaspoke.example/mesh/roller"
)

func main() {
	os.Exit(kernel.Main("wisteriaspoke-node", "Proxies calls and distributes configuration beside one upstream.", os.Args[1:]))
}
