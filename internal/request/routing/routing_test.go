package routing

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/failure"
)

func route(host, prefix, service string) Route {
	return Route{Name: prefix, Host: host, Prefix: prefix, Service: service, Repeatability: Repeatable}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	is := is.New(t)
	table := NewTable(Configuration{Routes: []Route{
		route("a.example", "/", "root"), route("a.example", "/x/", "x"), route("a.example", "/x/y/", "xy"), route("B.example", "/x/", "other"),
	}}, 7)
	service := func(host, path string) string {
		if entry := table.Match(host, path); entry != nil {
			return entry.Service
		}
		return ""
	}
	is.Equal(service("a.example", "/x/y/z"), "xy")
	is.Equal(service("a.example", "/x/yz"), "x")
	is.Equal(service("a.example", "/xy"), "root")
	is.Equal(service("A.EXAMPLE:80", "/x/"), "x")
	is.Equal(service("b.example", "/x/1"), "other")
	is.Equal(service("b.example", "/1"), "")
	is.Equal(service("c.example", "/x/"), "")
}

func TestRequiredPartsIsTheSmallestSufficientNumber(t *testing.T) {
	is := is.New(t)
	is.Equal(requiredParts(20, 0.89), 18)
	is.Equal(requiredParts(20, 0.75), 15)
	is.Equal(requiredParts(30, 0.9), 27) // 0.9 of 30 is not exact in binary
	is.Equal(requiredParts(20, 0), 1)
	is.Equal(requiredParts(0, 0.9), 0)
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.IntRange(1, 200).Draw(t, "parts")
		hundredths := rapid.IntRange(0, 100).Draw(t, "coverage")
		required := requiredParts(parts, float64(hundredths)/100)
		if required*100 < hundredths*parts || (required > 1 && (required-1)*100 >= hundredths*parts) {
			t.Fatalf("%d of %d is not the smallest number for %d%%", required, parts, hundredths)
		}
	})
}

func TestValidateNamesTheInvalidField(t *testing.T) {
	bad := map[string]func(*Configuration){
		"version":                  func(c *Configuration) { c.Version = -1 },
		"routes[0].host":           func(c *Configuration) { c.Routes[0].Host = "" },
		"routes[0].prefix":         func(c *Configuration) { c.Routes[0].Prefix = "/x" },
		"routes[0].service":        func(c *Configuration) { c.Routes[0].Gathered = []string{"b"} },
		"routes[0].repeatability":  func(c *Configuration) { c.Routes[0].Repeatability = "often" },
		"routes[0].timeout_millis": func(c *Configuration) { c.Routes[0].TimeoutMillis = -1 },
		"routes[1].prefix":         func(c *Configuration) { c.Routes = append(c.Routes, c.Routes[0]) },
		"services[0].name":         func(c *Configuration) { c.Services = []Service{{}} },
		"routes[0].weighted": func(c *Configuration) {
			c.Routes[0].Service, c.Routes[0].Weighted = "", []WeightedService{{Service: "a"}}
		},
	}
	for field, mutate := range bad {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			configuration := Configuration{Routes: []Route{route("a.example", "/", "a")}}
			is.NoErr(configuration.Validate())
			mutate(&configuration)
			faults := failure.Faults(configuration.Validate())
			is.True(len(faults) > 0)
			is.Equal(faults[0].Field, field)
		})
	}
}

func TestParseRefusesInvalidJSON(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte("{"))
	is.True(failure.Is(err, failure.InvalidField))
	content, err := json.Marshal(Configuration{Version: 3, Routes: []Route{route("a.example", "/", "a")}})
	is.NoErr(err)
	configuration, err := Parse(content)
	is.NoErr(err)
	is.Equal(configuration.Version, int64(3))
}

// For any weights, after each request the number of requests of each service differs from its weighted fraction by at
// most two.
func TestWeightedSelectorFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var weighted []WeightedService
		total := 0.0
		for index := range rapid.IntRange(2, 5).Draw(t, "parts") {
			weight := float64(rapid.IntRange(0, 10).Draw(t, "weight"))
			total += weight
			weighted = append(weighted, WeightedService{Service: string(rune('a' + index)), Weight: weight})
		}
		if total == 0 {
			weighted[0].Weight, total = 1, 1
		}
		entry := newEntry(Route{Host: "h", Prefix: "/", Weighted: weighted})
		selector := NewWeightedSelector()
		counts := make([]float64, len(weighted))
		for number := 1; number <= 200; number++ {
			counts[selector.Next(entry)]++
			for index, service := range weighted {
				wanted := float64(number) * service.Weight / total
				if math.Abs(counts[index]-wanted) > 2 {
					t.Fatalf("after %d requests service %d has %v, wanted %v", number, index, counts[index], wanted)
				}
			}
		}
	})
}
