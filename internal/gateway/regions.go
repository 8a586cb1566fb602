package gateway

import (
	"context"
	"maps"
	"slices"

	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/routing"
)

// noteUnknownRegions logs and counts the regions that a configuration names and that no failure
// domain has: requests that are allowed nowhere else are refused.
func (g *Gateway) noteUnknownRegions(t *routing.Table) {
	known := slices.Collect(maps.Values(g.options.Dispatch.Regions))
	for _, region := range t.NamedRegions() {
		if !slices.Contains(known, region) {
			klog.InfoS("Config: no failure domain is in a region that it allows.", "region", region, "version", t.Version)
			g.metrics.unknownRegions.Add(context.Background(), 1)
		}
	}
}
