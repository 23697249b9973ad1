package kernel

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/fault"
)

// probe is a part that records the calls of the kernel and fails where its fields say so.
type probe struct {
	name     string
	trace    *[]string
	checkErr error // returned by Check
	startErr error // returned by Start
	runErr   error // sent on the end channel right after Start
	cancel   context.CancelFunc
}

func (p *probe) record(what string) { *p.trace = append(*p.trace, what+" "+p.name) }

func (p *probe) Check() error { return p.checkErr }

func (p *probe) Start(ctx context.Context, _ *Kernel) (<-chan error, error) {
	p.record("start")
	if p.startErr != nil {
		return nil, p.startErr
	}
	end := make(chan error, 1)
	if p.runErr != nil {
		end <- p.runErr
		return end, nil
	}
	go func() {
		<-ctx.Done()
		end <- ctx.Err()
	}()
	if p.cancel != nil {
		p.cancel()
	}
	return end, nil
}

func (p *probe) Drain(context.Context) error {
	p.record("drain")
	return nil
}

// TestRun guards against parts that start, drain or stop in the wrong order, or still run after a failure.
func TestRun(t *testing.T) {
	cases := []struct {
		name  string
		parts func(trace *[]string, cancel context.CancelFunc) []namedPart
	}{
		{"graceful", func(tr *[]string, cancel context.CancelFunc) []namedPart {
			return []namedPart{{"a", &probe{name: "a", trace: tr}}, {"b", &probe{name: "b", trace: tr, cancel: cancel}}}
		}},
		{"start-refused", func(tr *[]string, _ context.CancelFunc) []namedPart {
			refused := fault.New(fault.Invalid, "the port is taken", "choose another one")
			return []namedPart{{"a", &probe{name: "a", trace: tr}}, {"b", &probe{name: "b", trace: tr, startErr: refused}}, {"c", &probe{name: "c", trace: tr}}}
		}},
		{"ended-early", func(tr *[]string, _ context.CancelFunc) []namedPart {
			return []namedPart{{"a", &probe{name: "a", trace: tr}}, {"b", &probe{name: "b", trace: tr, runErr: errors.New("lost its socket")}}}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var trace []string
			k := &Kernel{Log: slog.New(slog.DiscardHandler), parts: c.parts(&trace, cancel)}
			err := k.Run(ctx)
			got := strings.Join(trace, "\n") + fmt.Sprintf("\nerror: %v\n", err)
			goldie.New(t).Assert(t, c.name, []byte(got))
		})
	}
}

// TestCheck guards against a check that reports only the first bad setting.
func TestCheck(t *testing.T) {
	k := &Kernel{parts: []namedPart{
		{"a", &probe{checkErr: fault.New(fault.Invalid, "--a is empty", "set it")}},
		{"b", &probe{}},
		{"c", &probe{checkErr: fault.New(fault.Invalid, "--c is 0", "set it to 1 or more")}},
	}}
	goldie.New(t).Assert(t, "check", []byte(k.Check().Error()+"\n"))
}

// TestNeed guards against an error that does not say which interface is missing.
func TestNeed(t *testing.T) {
	k := &Kernel{parts: []namedPart{{"a", &probe{}}}}
	if _, err := Need[interface{ Drain(context.Context) error }](k); err != nil {
		t.Errorf("Need of an interface that a part implements: %v", err)
	}
	_, err := Need[fmt.Stringer](k)
	if fault.KindOf(err) != fault.Invalid || !strings.Contains(err.Error(), "fmt.Stringer") {
		t.Errorf("Need of a missing interface = %v, want a fault that names fmt.Stringer", err)
	}
}
