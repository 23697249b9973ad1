package main

import (
	"context"
	"testing"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/guard"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/message"
)

// TestOptionalParts guards against an optional part whose method no longer fits the interface that another part looks
// for, which the kernel cannot tell from a missing part. The explain command failed for this reason.
func TestOptionalParts(t *testing.T) {
	k := kernel.New()
	checks := map[string]int{
		"explainer": len(kernel.All[interface {
			Explain(method, host, path string, header func(string) string) any
		}](k)),
		"reserver": len(kernel.All[interface {
			RunOnce(ctx context.Context, c call.Call, run func(context.Context) answer.Answer) answer.Answer
		}](k)),
		"handler": len(kernel.All[interface {
			Handle(peer string, m message.Message) bool
		}](k)),
		"publisher": len(kernel.All[interface{ Publish(value any) }](k)),
		"injector":  len(kernel.All[interface{ Inject(e event.Event) }](k)),
		"gate": len(kernel.All[interface {
			Admit(ctx context.Context, c call.Call) (guard.Pass, string)
			BeforeSend(p guard.Pass, c call.Call) (guard.Pass, string)
			AfterCall(ctx context.Context, p guard.Pass, c call.Call, e guard.Ending)
			Ready() error
		}](k)),
		"readiness": len(kernel.All[interface{ Ready() error }](k)),
	}
	for name, n := range checks {
		if n == 0 {
			t.Errorf("no part of the node is a %s", name)
		}
	}
}
