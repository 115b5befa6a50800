package fingerprint

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/failure"
)

func sample() Content {
	return Content{Method: "GET", Host: "pages.example", Path: "/pages/1", Query: "a=b", Caller: "desk-7", Body: []byte("body")}
}

func TestFingerprintDependsOnEveryField(t *testing.T) {
	is := is.New(t)
	known := map[Fingerprint]bool{Of(sample()): true}
	for _, change := range []func(*Content){
		func(c *Content) { c.Method = "POST" },
		func(c *Content) { c.Host = "other.example" },
		func(c *Content) { c.Path = "/pages/2" },
		func(c *Content) { c.Query = "a=c" },
		func(c *Content) { c.Caller = "desk-8" },
		func(c *Content) { c.Body = []byte("other") },
		// The same bytes, cut elsewhere.
		func(c *Content) { c.Method, c.Host = "GETpages", ".example" },
	} {
		changed := sample()
		change(&changed)
		is.True(!known[Of(changed)])
		known[Of(changed)] = true
	}
	is.Equal(Of(sample()), Of(sample()))
}

func TestTextRoundTrip(t *testing.T) {
	is := is.New(t)
	encoded, err := json.Marshal(Of(sample()))
	is.NoErr(err)
	var read Fingerprint
	is.NoErr(json.Unmarshal(encoded, &read))
	is.Equal(read, Of(sample()))
	is.NoErr(json.Unmarshal([]byte(`""`), &read))
	is.True(read.IsZero())
	for _, wrong := range []string{"12", "zz", Of(sample()).String() + "00"} {
		_, err := Parse(wrong)
		is.True(failure.Is(err, failure.InvalidField))
	}
}

func BenchmarkOf(b *testing.B) {
	content := sample()
	for b.Loop() {
		Of(content)
	}
}
