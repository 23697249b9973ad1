package head_test

import (
	"testing"

	"wisteriaspoke.example/mesh/head"
	"wisteriaspoke.example/mesh/share"
)

// TestWithPreset guards against a share of a service that the preset does not have: nodes refuse such a version whole.
func TestWithPreset(t *testing.T) {
	var h head.Head
	h = h.WithPreset("ordinary", map[string]string{"a": "1", "b": "2"}, "t1", "ann")
	h = h.WithShare("a", share.New("v1", "v2", 50, "r1", 1), "t2", "node")
	h = h.WithShare("b", share.New("v1", "v2", 50, "r2", 1), "t3", "node")
	old := h
	h = h.WithPreset("peak", map[string]string{"a": "3"}, "t4", "bob")
	if s, ok := h.Shares()["a"]; !ok || s.Permille() != 50 {
		t.Errorf("the share of a service that stays is %v, %v", s, ok)
	}
	if _, ok := h.Shares()["b"]; ok {
		t.Error("the share of a service that is gone stands")
	}
	if len(old.Shares()) != 2 {
		t.Error("the version before has changed")
	}
	if h.Version() != 4 || !h.HasToken("t2") || h.HasToken("t5") {
		t.Errorf("version %d, history %v", h.Version(), h.History())
	}
}
