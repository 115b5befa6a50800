// Package hangup catches SIGHUP, which tells a node to reload its settings, as early in the life of a process as possible.
//
// SIGHUP ends a process that doesn't catch it, and the main function of a node starts only some tens of milliseconds after
// the process, mostly because of package initialization. This package imports almost nothing, so that it is among the first
// to be initialized. Among packages whose imports are initialized, Go initializes the one with the lowest import path
// first, so its path matters as well. The package owns one channel and the process's disposition of SIGHUP.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// nodeArgument is the first argument of a process that runs a node. SIGHUP ends any other process, for example when its
// terminal closes, unless its parent ignored the signal.
const nodeArgument = "node"

// signals has a buffer of one: a second signal before the first is received would reload the same settings.
var signals = make(chan os.Signal, 1)

func init() {
	if len(os.Args) > 1 && os.Args[1] == nodeArgument {
		signal.Notify(signals, syscall.SIGHUP)
	}
}

// Signals returns the channel that receives SIGHUP. After the first call, SIGHUP no longer ends the process, whatever it
// runs. The channel receives SIGHUP even if the parent of the process ignored the signal.
func Signals() <-chan os.Signal {
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}
