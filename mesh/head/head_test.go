package head_test

import (
	"testing"

	"wisteriaspoke.example/mesh/head"
	"wisteriaspoke.example/mesh/share"
)

// TestWithPreset guards against a share of a service that the preset lacks, because nodes refuse the whole version then.
// Shares of other services and the previous version must not change.
func TestWithPreset(t *testing.T) {
	var h head.Head
	h = h.WithPreset("ordinary", map[string]string{"a": "1", "b": "2"}, "t1", "ann")
	h = h.WithShare("a", share.New("v1", "v2", 50, "r1", 1), "t2", "node")
	h = h.WithShare("b", share.New("v1", "v2", 50, "r2", 1), "t3", "node")
	before := h
	h = h.WithPreset("peak", map[string]string{"a": "3"}, "t4", "bob")
	if s, ok := h.Shares()["a"]; !ok || s.Permille() != 50 {
		t.Errorf("the share of a service in both presets is %v, %v", s, ok)
	}
	if _, ok := h.Shares()["b"]; ok {
		t.Error("the share of a removed service was kept")
	}
	if len(before.Shares()) != 2 {
		t.Error("the previous version has changed")
	}
	if h.Version() != 4 || !h.HasToken("t2") || h.HasToken("t5") {
		t.Errorf("version %d, history %v", h.Version(), h.History())
	}
}
