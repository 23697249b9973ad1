package main

import (
	"os"

	"wisteriaspoke.example/ctl/core"
	_ "wisteriaspoke.example/ctl/endpoints"
	_ "wisteriaspoke.example/ctl/explain"
	_ "wisteriaspoke.example/ctl/moves"
	_ "wisteriaspoke.example/ctl/presets"
	_ "wisteriaspoke.example/ctl/status"
	_ "wisteriaspoke.example/ctl/trace"
)

func main() {
	os.Exit(core.NewProgram().Run(os.Args[1:]))
}
