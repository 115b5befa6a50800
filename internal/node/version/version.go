// Package version identifies the build of this process.
package version

import "runtime/debug"

// Number is the version of the product, as in CHANGELOG.md.
const Number = "0.2.0"

// Info describes a build.
type Info struct {
	Version  string `json:"version"`
	Go       string `json:"go"`
	Revision string `json:"revision,omitempty"`
}

// Current returns the build of this process. Go and Revision are empty if the binary has no build information.
func Current() Info {
	info := Info{Version: Number}
	build, found := debug.ReadBuildInfo()
	if !found {
		return info
	}
	info.Go = build.GoVersion
	for _, setting := range build.Settings {
		if setting.Key == "vcs.revision" {
			info.Revision = setting.Value
		}
	}
	return info
}
