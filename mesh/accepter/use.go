package accepter

import (
	"context"
	"fmt"
	"maps"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/head"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/preset"
)

// Use puts a stored preset in force and returns the version of the configuration once the write is known to have taken
// effect.
func (a *Accepter) Use(ctx context.Context, name, writer string) (uint64, error) {
	stored, err := a.ReadManifest(ctx, name)
	if err != nil {
		return 0, err
	}
	if _, err := a.ReadDefinitions(ctx, stored.DefinitionDigests()); err != nil {
		return 0, err
	}
	base, err := a.Read(ctx, head.Plural, head.Name)
	if err != nil {
		return 0, err
	}
	c := &activation{stored: stored, token: a.NewToken(), writer: writer}
	if err := a.commit(ctx, base, c); err != nil {
		return 0, err
	}
	return c.version, nil
}

// ReadManifest returns the manifest of a preset, or an error of kind NotFound.
func (a *Accepter) ReadManifest(ctx context.Context, name string) (preset.Manifest, error) {
	o, err := a.Read(ctx, preset.Plural, name)
	if err != nil {
		return preset.Manifest{}, err
	}
	if o.Revision() == "" {
		return preset.Manifest{}, fault.New(fault.NotFound, fmt.Sprintf("preset %q is not stored", name),
			"run wisteriaspoke presets list for the stored ones, or apply it first")
	}
	return preset.Decode(o)
}

// ReadHead returns the configuration in force, or the zero Head before the first one.
func (a *Accepter) ReadHead(ctx context.Context) (head.Head, error) {
	o, err := a.Read(ctx, head.Plural, head.Name)
	if err != nil {
		return head.Head{}, err
	}
	return head.Decode(o)
}

// activation is the write that puts a preset in force.
type activation struct {
	stored  preset.Manifest
	token   string
	writer  string
	version uint64
}

func (c *activation) description() string {
	return fmt.Sprintf("putting preset %q in force", c.stored.Name())
}

func (c *activation) verification() string {
	return "wisteriaspoke presets history, which lists the token " + c.token + " if it was done"
}

func (c *activation) build(base object.Object) (object.Object, error) {
	old, err := head.Decode(base)
	if err != nil {
		return base, err
	}
	next := old.WithPreset(c.stored.Name(), c.stored.DefinitionDigests(), c.token, c.writer)
	c.version = next.Version()
	spec, err := next.Encode()
	return base.WithSpec(spec), err
}

func (c *activation) evaluate(base, now object.Object) (result, error) {
	old, err := head.Decode(base)
	if err != nil {
		return indeterminate, err
	}
	h, err := head.Decode(now)
	if err != nil {
		return indeterminate, err
	}
	if h.HasToken(c.token) {
		return accepted, nil
	}
	since, complete := entriesAfter(h, old.Version())
	if !complete {
		return indeterminate, c.conflict(h.Preset(), h.Writer(), h.Version())
	}
	for _, e := range since {
		if e.Preset != old.Preset() {
			return rejected, c.conflict(e.Preset, e.Writer, e.Version)
		}
	}
	// Rollouts change shares several times an hour for each service; these writes do not conflict with an operator's.
	if maps.Equal(h.DefinitionDigests(), old.DefinitionDigests()) && !maps.Equal(h.Shares(), old.Shares()) {
		return rebase, nil
	}
	return rejected, c.conflict(h.Preset(), h.Writer(), h.Version())
}

// entriesAfter returns the entries of a head later than a version, oldest first, and whether all of them are present.
func entriesAfter(h head.Head, version uint64) ([]head.Entry, bool) {
	all := []head.Entry{{Version: h.Version(), Preset: h.Preset(), Token: h.Token(), Writer: h.Writer()}}
	all = append(all, h.History()...)
	var since []head.Entry
	for _, e := range all {
		if e.Version > version {
			since = append([]head.Entry{e}, since...)
		}
	}
	return since, len(since) > 0 && since[0].Version == version+1
}

func (c *activation) conflict(name, writer string, version uint64) error {
	return fault.New(fault.Conflict, fmt.Sprintf("%s put preset %q in force as version %d before %q", writer, name, version, c.stored.Name()),
		"run wisteriaspoke presets history, then use yours again if it should replace that")
}
