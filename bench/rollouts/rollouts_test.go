package rollouts

import "testing"

// Guards against a measurement that omits a scenario or a figure, with one seed per scenario.
func TestMeasureScenarios(t *testing.T) {
	for _, k := range scenarios {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			one := k
			one.runs = 1
			names := map[string]bool{}
			run(one).emit(one, func(name string, value float64, unit string, baseline float64, _ string, _ int, _ uint64, _ float64, better string) {
				if names[name] || unit == "" || better == "" {
					t.Errorf("%s is emitted twice or without a unit", name)
				}
				names[name] = true
				t.Logf("%s %.3f %s, baseline %.3f", name, value, unit, baseline)
			})
			if len(names) == 0 {
				t.Error("no figure")
			}
		})
	}
}
