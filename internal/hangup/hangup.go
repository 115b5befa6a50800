// Package hangup catches SIGHUP, the signal by which a node is told to reload its settings, as early in the life of a process
// as possible.
//
// Until a process catches the signal, the signal ends it, and a node needs some tens of milliseconds until its main function
// runs, most of them for the initialisation of its packages. This package imports next to nothing, so that it is initialised
// among the first; Go initialises packages in the order of their import paths, so its path matters, too. It owns one channel and
// the process's disposition of SIGHUP.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// nodeArgument is the first argument of a process that runs a node. SIGHUP ends any other process, as when its terminal closes,
// unless its parent ignored the signal.
const nodeArgument = "node"

// signals has room for one signal: a second one, before the first was received, would reload the same settings.
var signals = make(chan os.Signal, 1)

func init() {
	if len(os.Args) > 1 && os.Args[1] == nodeArgument {
		signal.Notify(signals, syscall.SIGHUP)
	}
}

// Signals returns the channel of signals to reload. From its first call on, SIGHUP doesn't end the process, whatever it runs;
// that holds also if the parent of the process ignored the signal.
func Signals() <-chan os.Signal {
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}
