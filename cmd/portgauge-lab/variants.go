package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/platform/variants"
)

// variantsCommand plays deployments and days drawn from a seed on the users' bench.
type variantsCommand struct {
	Site  string `arg:"" help:"A site file of the users' bench."`
	Bench string `required:"" help:"The users' bench program."`
	Seed  uint64 `default:"1" help:"Where the variants are drawn from."`
	First int    `default:"0" help:"Number of the first variant."`
	Count int    `default:"20" help:"How many variants are played."`
	Jobs  int    `default:"3" help:"How many are played at once."`
}

// report is what the bench says of a day, as far as it is read here.
type report struct {
	Breaks map[string]json.RawMessage `json:"breaks"`
	Fault  string                     `json:"fault"`
	Served float64                    `json:"served"`
	Failed float64                    `json:"failed"`
}

// Run plays the variants and fails if a rule was broken in any.
func (c *variantsCommand) Run() error {
	site, err := os.ReadFile(c.Site)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "portgauge-variants-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	passed, failed := 0, 0
	var mu sync.Mutex
	var playing sync.WaitGroup
	places := make(chan struct{}, c.Jobs)
	for number := c.First; number < c.First+c.Count; number++ {
		places <- struct{}{}
		playing.Go(func() {
			held := c.play(folder, string(site), number)
			mu.Lock()
			defer mu.Unlock()
			if held {
				passed++
			} else {
				failed++
			}
			<-places
		})
	}
	playing.Wait()
	fmt.Printf("%d passed, %d failed\n", passed, failed)
	if failed > 0 {
		return failure.New(failure.Internal, failure.Unknown, "%d variants broke a rule or could not be played", failed)
	}
	return nil
}

// play plays one variant and reports whether every rule held.
func (c *variantsCommand) play(folder, site string, number int) bool {
	made, err := variants.Make(site, c.Seed, number)
	if err != nil {
		fmt.Printf("%d: %v\n", number, err)
		return false
	}
	base := filepath.Join(folder, strconv.Itoa(number))
	seen, output, err := c.bench(base, made)
	if err != nil {
		fmt.Printf("%d (%s): could not be played: %v\n%s", number, made.Name, err, output)
		return false
	}
	if len(seen.Breaks) > 0 || seen.Fault != "" {
		breaks, _ := json.Marshal(seen.Breaks)
		fmt.Printf("%d (%s): BROKEN %s %s\n%s\n", number, made.Name, breaks, seen.Fault, made.Day)
		return false
	}
	fmt.Printf("%d (%s): served %.3f, failed %.3f\n", number, made.Name, seen.Served, seen.Failed)
	return true
}

// bench writes a variant's files beside a base name and plays them.
func (c *variantsCommand) bench(base string, made variants.Variant) (seen report, output []byte, err error) {
	siteFile, dayFile, reportFile := base+".site.toml", base+".day.toml", base+".json"
	for file, content := range map[string]string{siteFile: made.Site, dayFile: made.Day} {
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			return report{}, nil, err
		}
	}
	if err := copyWire(c.Site, filepath.Dir(base)); err != nil {
		return report{}, nil, err
	}
	output, err = exec.Command(c.Bench, "run", siteFile, dayFile, "--report", reportFile, "--why", "variant "+made.Name).CombinedOutput()
	if err != nil {
		return report{}, output, err
	}
	content, err := os.ReadFile(reportFile)
	if err != nil {
		return report{}, output, err
	}
	err = json.Unmarshal(content, &seen)
	return seen, output, err
}

// wireFile holds the names of a deployment's platform, beside its site file.
const wireFile = "wire.json"

// copyWire puts what belongs to a site file into the folder of one that was made from it.
func copyWire(site, folder string) error {
	wire, err := os.ReadFile(filepath.Join(filepath.Dir(site), wireFile))
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, wireFile), wire, 0o600)
}
