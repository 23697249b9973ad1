package accepter

import (
	"context"
	"encoding/json"
	"fmt"

	"golang.org/x/sync/errgroup"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/preset"
	"wisteriaspoke.example/mesh/service"
)

// Apply stores a preset, its definitions before its manifest, and returns the manifest; the preset in force does not
// change.
func (a *Accepter) Apply(ctx context.Context, p preset.Preset, writer string) (preset.Manifest, error) {
	base, err := a.Read(ctx, preset.Plural, p.Name())
	if err != nil {
		return preset.Manifest{}, err
	}
	g, inner := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentRequests)
	for digest, content := range p.EncodedDefinitions() {
		g.Go(func() error { return a.createDefinition(inner, digest, content) })
	}
	if err := g.Wait(); err != nil {
		return preset.Manifest{}, err
	}
	c := &presetWrite{preset: p, token: a.NewToken(), writer: writer}
	if err := a.commit(ctx, base, c); err != nil {
		return preset.Manifest{}, err
	}
	return c.stored, nil
}

// createDefinition stores a definition unless it exists. Definitions are immutable and named by the digest of their
// content, so creating one again is harmless.
func (a *Accepter) createDefinition(ctx context.Context, digest string, content []byte) error {
	for failed := 0; ; failed++ {
		o, err := a.Read(ctx, preset.DefinitionPlural, digest)
		if err != nil {
			return err
		}
		if o.Revision() != "" {
			return checkContent(o, content)
		}
		_, err = a.Store.Create(ctx, object.New(preset.DefinitionPlural, digest, "", content))
		if err == nil {
			return nil
		}
		if isPermanent(err) && fault.KindOf(err) != fault.Conflict {
			return err
		}
		if a.backOff(ctx, failed) != nil {
			return fault.Wrap(fault.Unavailable, withoutRemedies(err), "a part of the preset was not stored", "the preset is unchanged; try again later")
		}
	}
}

// checkContent returns an error if the stored definition has different content, which means that digests collided.
func checkContent(o object.Object, content []byte) error {
	s, err := DecodeDefinition(o)
	if err != nil {
		return err
	}
	// The store may have changed the order of fields and the white space.
	data, err := json.Marshal(s)
	if err != nil || string(data) != string(content) {
		return fault.New(fault.Conflict, "parts/"+o.Name()+" has another content under the same digest",
			"change the service's version or a timeout, which changes the digest")
	}
	return nil
}

// DecodeDefinition decodes a stored definition and checks it against its digest.
func DecodeDefinition(o object.Object) (service.Service, error) {
	var s service.Service
	if o.Revision() == "" {
		return s, fault.New(fault.NotFound, "parts/"+o.Name()+" does not stand in the store", "apply the preset again")
	}
	if err := json.Unmarshal(o.Spec(), &s); err != nil {
		return s, fault.Wrap(fault.Invalid, err, "parts/"+o.Name()+" is malformed", "delete the object and apply the preset again")
	}
	digest, err := s.Digest()
	if err != nil || digest != o.Name() {
		return s, fault.New(fault.Invalid, "parts/"+o.Name()+" has the content of "+digest, "delete the object and apply the preset again")
	}
	return s, nil
}

// ReadDefinitions returns the definitions of a manifest by service, or an error if one of them does not exist.
func (a *Accepter) ReadDefinitions(ctx context.Context, digests map[string]string) (map[string]service.Service, error) {
	type definition struct {
		name    string
		service service.Service
	}
	found := make(chan definition, len(digests))
	g, inner := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentRequests)
	for name, digest := range digests {
		g.Go(func() error {
			o, err := a.Read(inner, preset.DefinitionPlural, digest)
			if err != nil {
				return err
			}
			s, err := DecodeDefinition(o)
			if err != nil {
				return fmt.Errorf("service %s: %w", name, err)
			}
			found <- definition{name: name, service: s}
			return nil
		})
	}
	err := g.Wait()
	close(found)
	all := make(map[string]service.Service, len(digests))
	for f := range found {
		all[f.name] = f.service
	}
	return all, err
}

// presetWrite is the write of a preset's manifest.
type presetWrite struct {
	preset preset.Preset
	token  string
	writer string
	stored preset.Manifest
}

func (c *presetWrite) description() string { return fmt.Sprintf("applying preset %q", c.preset.Name()) }

func (c *presetWrite) verification() string {
	return "wisteriaspoke presets show " + c.preset.Name() + ", which names the token " + c.token + " if it was done"
}

func (c *presetWrite) build(base object.Object) (object.Object, error) {
	old, err := preset.Decode(base)
	if err != nil {
		return base, err
	}
	c.stored = old.Next(c.preset, c.token, c.writer)
	spec, err := c.stored.Encode()
	return base.WithSpec(spec), err
}

func (c *presetWrite) evaluate(base, now object.Object) (result, error) {
	old, err := preset.Decode(base)
	if err != nil {
		return indeterminate, err
	}
	s, err := preset.Decode(now)
	if err != nil {
		return indeterminate, err
	}
	if s.Token() == c.token {
		return accepted, nil
	}
	conflict := fault.New(fault.Conflict, fmt.Sprintf("%s applied preset %q as revision %d at the same time", s.Writer(), s.Name(), s.Revision()),
		"run wisteriaspoke presets show "+c.preset.Name()+", then apply yours again if it should replace that")
	// A manifest has no history: a later revision may have replaced this write.
	if s.Revision() != old.Revision()+1 {
		return indeterminate, conflict
	}
	return rejected, conflict
}
