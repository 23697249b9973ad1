package identity

import (
	"slices"
	"testing"
)

// TestConfigSeedsAreAddresses guards against seeds that keep the data centre as a prefix: messages to them are lost.
func TestConfigSeedsAreAddresses(t *testing.T) {
	i := &Identity{Seeds: []string{"obb-a=10.0.0.1:7400", "swb-a=10.0.1.1:7400", "10.0.2.1:7400"}}
	want := []string{"10.0.0.1:7400", "10.0.1.1:7400", "10.0.2.1:7400"}
	if got := i.Config().Seeds; !slices.Equal(got, want) {
		t.Errorf("got seeds %q, want %q", got, want)
	}
	if got, want := i.Config().DataCentres, []string{"obb-a", "swb-a"}; !slices.Equal(got, want) {
		t.Errorf("got data centres %q, want %q", got, want)
	}
}
