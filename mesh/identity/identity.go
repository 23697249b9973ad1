package identity

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
)

func init() {
	kernel.Register("identity", 0, func() kernel.Part { return &Identity{incarnation: uint64(time.Now().UnixMilli())} })
}

// Identity holds the settings that identify this node and the upstream beside it.
type Identity struct {
	Node       string   `help:"IP address and port where other nodes reach this one." placeholder:"IP:PORT" env:"WISTERIASPOKE_NODE"`
	DataCentre string   `help:"Data centre of this host." env:"WISTERIASPOKE_DATA_CENTRE"`
	Region     string   `help:"Region of the data centre." env:"WISTERIASPOKE_REGION"`
	Service    string   `help:"Service of the local upstream; empty if there is none." env:"WISTERIASPOKE_SERVICE"`
	Release    string   `help:"Version of the local upstream." placeholder:"VERSION" env:"WISTERIASPOKE_RELEASE"`
	Slots      int      `help:"Concurrent calls that the local upstream takes." default:"12" env:"WISTERIASPOKE_SLOTS"`
	Seeds      []string `help:"Addresses of some nodes in several data centres, as DATACENTRE=IP:PORT." placeholder:"DC=IP:PORT" env:"WISTERIASPOKE_SEEDS"`

	incarnation uint64
}

// Check returns every bad setting with its remedy.
func (i *Identity) Check() error {
	var errs []error
	if _, err := netip.ParseAddrPort(i.Node); err != nil {
		errs = append(errs, fault.Wrap(fault.Invalid, err, "--node is not an address", "set it to IP:PORT, for example 10.0.0.1:7400"))
	}
	if i.DataCentre == "" {
		errs = append(errs, fault.New(fault.Invalid, "--data-centre is empty", "set it to the host's data centre, for example obb-a"))
	}
	if i.Region == "" {
		errs = append(errs, fault.New(fault.Invalid, "--region is empty", "set it to the data centre's region, for example obb"))
	}
	if (i.Service == "") != (i.Release == "") {
		errs = append(errs, fault.New(fault.Invalid, "only one of --service and --release is set", "set both, or neither"))
	}
	if i.Slots < 1 {
		errs = append(errs, fault.New(fault.Invalid, fmt.Sprintf("--slots is %d", i.Slots), "set it to 1 or more"))
	}
	for _, s := range i.Seeds {
		_, address := SplitSeed(s)
		if _, err := netip.ParseAddrPort(address); err != nil {
			errs = append(errs, fault.Wrap(fault.Invalid, err, fmt.Sprintf("--seeds has %q", s), "write DATACENTRE=IP:PORT"))
		}
	}
	return errors.Join(errs...)
}

// SplitSeed returns the data centre, empty if there is none, and the address of one seed.
func SplitSeed(seed string) (dataCentre, address string) {
	for i := range len(seed) {
		if seed[i] == '=' {
			return seed[:i], seed[i+1:]
		}
	}
	return "", seed
}

// Start does nothing, as the part has no goroutine.
func (i *Identity) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return nil, nil }

// Config returns the configuration of this node's control machines. Its seeds are addresses without the data centre,
// since machines send to them.
func (i *Identity) Config() machine.Config {
	seeds := make([]string, 0, len(i.Seeds))
	var centres []string
	for _, s := range i.Seeds {
		centre, address := SplitSeed(s)
		seeds = append(seeds, address)
		if centre != "" && !slices.Contains(centres, centre) {
			centres = append(centres, centre)
		}
	}
	return machine.Config{
		Node: i.Node, Incarnation: i.incarnation, DataCentre: i.DataCentre, Region: i.Region,
		Service: i.Service, Version: i.Release, Slots: i.Slots, Seeds: seeds, DataCentres: centres,
		Rand: rand.New(rand.NewPCG(i.incarnation, rand.Uint64())),
	}
}
