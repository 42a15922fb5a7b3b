package routing_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/routing"
)

func configuration() routing.Configuration {
	highest := 0
	return routing.Configuration{
		Version: 7,
		Routes: []routing.Route{
			{
				Name:     "all",
				Host:     "shop.example",
				Prefix:   "/",
				Priority: 2,
			},
			{
				Name:     "orders",
				Host:     "Shop.example",
				Prefix:   "/orders/",
				Priority: 1,
			},
			{
				Name:   "late-orders",
				Host:   "shop.example",
				Prefix: "/orders/late/",
			},
			{
				Name:   "elsewhere",
				Host:   "packs.example",
				Prefix: "/orders/",
			},
		},
		Teams: []routing.Team{
			{
				Name: "north",
				Keys: []string{
					"first",
					"second",
				},
				Priority: &highest,
			},
			{
				Name: "south",
			},
		},
	}
}

func TestRouteWithLongestMatchingPrefixIsSelected(t *testing.T) {
	index := routing.NewIndex(configuration())
	for path, routeName := range map[string]string{
		"/":               "all",
		"/orders":         "all",
		"/orders/":        "orders",
		"/orders/7":       "orders",
		"/orders/late":    "orders",
		"/orders/late/7":  "late-orders",
		"/ordersx/late/7": "all",
	} {
		route, found := index.Route("shop.example:8080", path)
		require.True(t, found, path)
		require.Equal(t, routeName, route.Name, path)
	}
	_, found := index.Route("packs.example", "/7")
	require.False(t, found)
	_, found = index.Route("other.example", "/orders/7")
	require.False(t, found)
}

func TestTeamIsFoundByEachOfItsKeys(t *testing.T) {
	index := routing.NewIndex(configuration())
	team, found := index.TeamByKey("second")
	require.True(t, found)
	require.Equal(t, "north", team.Name)
	_, found = index.TeamByKey("")
	require.False(t, found)
}

func TestTeamPriorityOverridesRoutePriority(t *testing.T) {
	index := routing.NewIndex(configuration())
	route, _ := index.Route("shop.example", "/orders/7")
	north, _ := index.TeamByName("north")
	south, _ := index.TeamByName("south")
	require.Equal(t, 0, routing.EffectivePriority(route, north))
	require.Equal(t, 1, routing.EffectivePriority(route, south))
	require.Equal(t, 1, routing.EffectivePriority(route, nil))
}

func TestEmptyRegionListAllowsAllRegions(t *testing.T) {
	require.True(t, routing.AllowsRegion(nil, "accra"))
	require.True(t, routing.AllowsRegion([]string{"accra"}, "accra"))
	require.False(t, routing.AllowsRegion([]string{"accra"}, "kumasi"))
}
