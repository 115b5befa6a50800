package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/platform/compare"
)

// compareCommand plays policies on the same days and seeds of the users' bench, one after the other. What
// was played is kept in a folder, so that a comparison that was cut off goes on.
type compareCommand struct {
	Site   string   `arg:"" help:"A site file of the users' bench."`
	Policy []string `required:"" sep:"none" help:"A policy as name:setting=value,setting=value; the first is the standing one."`
	Days   []string `required:"" help:"Names of days of the site."`
	Seeds  int      `default:"2" help:"Plays of each day, each with another seed."`
	Bench  string   `required:"" help:"The users' bench program."`
	Folder string   `required:"" help:"Where what was played is kept."`
	Jobs   int      `default:"3" help:"Days that the bench plays at once."`
	Source string   `default:"." help:"The repository; what it has committed is played."`
}

const deployFile = "deploy/system.toml"

// Run plays what was not played yet and prints the table.
func (c *compareCommand) Run() error {
	site, err := os.ReadFile(c.Site)
	if err != nil {
		return err
	}
	made, err := compare.Site(string(site), c.Days, c.Seeds)
	if err != nil {
		return err
	}
	if err := c.prepare(made); err != nil {
		return err
	}
	var played []compare.Played
	for _, text := range c.Policy {
		policy, err := compare.ParsePolicy(text)
		if err != nil {
			return err
		}
		output, err := c.play(policy)
		if err != nil {
			return err
		}
		played = append(played, compare.Played{Policy: policy, Results: compare.Results(output)})
		fmt.Println(compare.Table(played))
	}
	return nil
}

// prepare writes the site file and what belongs to it.
func (c *compareCommand) prepare(site string) error {
	if err := os.MkdirAll(c.Folder, 0o755); err != nil {
		return err
	}
	if err := copyWire(c.Site, c.Folder); err != nil {
		return err
	}
	return os.WriteFile(c.siteFile(), []byte(site), 0o644)
}

func (c *compareCommand) siteFile() string { return filepath.Join(c.Folder, "site.toml") }

// play gives what the bench prints of a policy.
func (c *compareCommand) play(policy compare.Policy) (string, error) {
	kept := filepath.Join(c.Folder, policy.Name+".txt")
	if known, err := os.ReadFile(kept); err == nil {
		return string(known), nil
	}
	checkout, err := c.checkout(policy)
	if err != nil {
		return "", err
	}
	bench, err := filepath.Abs(c.Bench)
	if err != nil {
		return "", err
	}
	site, err := filepath.Abs(c.siteFile())
	if err != nil {
		return "", err
	}
	command := exec.Command(bench, "score", site, "--jobs", strconv.Itoa(c.Jobs), "--why", "compare "+policy.Name)
	command.Dir = checkout
	// The bench fails where a gate does; the table says so.
	output, err := command.CombinedOutput()
	if len(compare.Results(string(output))) == 0 {
		return "", failure.Wrap(err, failure.Internal, failure.Unknown, "play "+policy.Name+": "+string(output))
	}
	return string(output), os.WriteFile(kept, output, 0o644)
}

// checkout makes a checkout of the repository with the policy's settings.
func (c *compareCommand) checkout(policy compare.Policy) (string, error) {
	folder := filepath.Join(c.Folder, "checkout-"+policy.Name)
	if err := os.RemoveAll(folder); err != nil {
		return "", err
	}
	if output, err := exec.Command("git", "clone", "-q", c.Source, folder).CombinedOutput(); err != nil {
		return "", failure.Wrap(err, failure.Internal, failure.NotRun, "clone: "+strings.TrimSpace(string(output)))
	}
	path := filepath.Join(folder, deployFile)
	deploy, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	return folder, os.WriteFile(path, []byte(policy.Deploy(string(deploy))), 0o644)
}
