package projector

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOthers guards against an old report that counts as much as a new one, and against a projected load outside the range
// between the report and the mean of the group.
func TestOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Projector
		for range rapid.IntRange(0, 10).Draw(t, "reports") {
			age := time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond
			p.Add(rapid.IntRange(0, Groups-1).Draw(t, "group"), rapid.Float64Range(0, 30).Draw(t, "others"), 9, age)
		}
		const slots = 9.0
		reported, mean := rapid.Float64Range(0, 30).Draw(t, "reported"), p.Utilisation(1)*slots
		if got := p.Others(1, reported, slots, 0, time.Second); got != reported {
			t.Fatalf("a new report of %g gives %g", reported, got)
		}
		distance := reported - mean
		for age := time.Millisecond; age < time.Minute; age *= 3 {
			next := p.Others(1, reported, slots, age, 200*time.Millisecond) - mean
			if next*distance < -1e-9 || next*next > distance*distance+1e-9 {
				t.Fatalf("at the age %v the distance from the mean grows from %g to %g", age, distance, next)
			}
			distance = next
		}
		if distance > 0.01 || distance < -0.01 {
			t.Fatalf("after a minute the distance from the mean is still %g", distance)
		}
	})
}
