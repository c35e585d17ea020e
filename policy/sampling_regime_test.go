package policy

import "testing"

func TestRegimeDependsOnNodesPerServer(t *testing.T) {
	for _, tc := range []struct {
		nodesPerServer float64
		want           samplingRegime
	}{
		{1, wellSampled()},
		{maxWellSampledNodesPerServer, wellSampled()},
		{maxWellSampledNodesPerServer + 0.01, undersampled()},
		{80, undersampled()},
	} {
		if got := regimeFor(tc.nodesPerServer); got != tc.want {
			t.Errorf("regimeFor(%v) = %+v, want %+v", tc.nodesPerServer, got, tc.want)
		}
	}
}
