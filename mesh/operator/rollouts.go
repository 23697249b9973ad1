package operator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/accepter"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/rollout"
)

func init() {
	addRoute("POST", "/v1/rollouts", (*api).startRollout)
	addRoute("GET", "/v1/rollouts", (*api).listRollouts)
	addRoute("GET", "/v1/rollouts/*", (*api).showRollout)
	addRoute("POST", "/v1/rollouts/*/takeback", (*api).takeBack)
}

// rolloutBody is the body of a request for a rollout.
type rolloutBody struct {
	Service  string    `json:"service"`
	Version  string    `json:"version"`
	Deadline time.Time `json:"deadline"`
	Settle   int64     `json:"settle"` // milliseconds; zero for the default
}

// maxSettleMillis is far longer than any deadline and prevents an overflow in the conversion from milliseconds.
const maxSettleMillis = int64(365 * 24 * time.Hour / time.Millisecond)

func (a *api) startRollout(ctx context.Context, r request) (any, error) {
	var q rolloutBody
	d := json.NewDecoder(bytes.NewReader(r.body))
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the body is not a request for a move",
			`send {"service": NAME, "version": VERSION, "deadline": RFC 3339, "settle": MILLISECONDS}`)
	}
	if q.Settle < 0 || q.Settle > maxSettleMillis {
		return nil, fault.New(fault.Invalid, fmt.Sprintf("settle is %d", q.Settle), "use milliseconds up to half of the time to the deadline")
	}
	return a.rollouts.Create(ctx, accepter.Request{
		Service: q.Service, Version: q.Version, Deadline: q.Deadline,
		Settle: time.Duration(q.Settle) * time.Millisecond, Writer: r.writer,
	})
}

func (a *api) listRollouts(ctx context.Context, _ request) (any, error) {
	objects, err := a.accepter.List(ctx, rollout.Plural)
	if err != nil {
		return nil, err
	}
	all := []rollout.Rollout{}
	for _, o := range objects {
		m, err := rollout.Decode(o)
		if err != nil {
			return nil, err
		}
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b rollout.Rollout) int { return cmp.Compare(a.Service(), b.Service()) })
	return map[string]any{"rollouts": all}, nil
}

func (a *api) showRollout(ctx context.Context, r request) (any, error) {
	o, err := a.accepter.Read(ctx, rollout.Plural, r.name)
	if err != nil {
		return nil, err
	}
	if o.Revision() == "" {
		return nil, fault.New(fault.NotFound, fmt.Sprintf("service %q has no move", r.name), "run wisteriaspoke moves list")
	}
	return rollout.Decode(o)
}

func (a *api) takeBack(ctx context.Context, r request) (any, error) {
	return a.rollouts.TakeBack(ctx, r.name, r.writer)
}
