// Package version says which build this is.
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

// Current gives the build of this process.
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
