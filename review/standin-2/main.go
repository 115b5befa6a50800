// Command standin-2 is the environment of the scripted cases of the second review: a store, leafs and clients around
// nodes that it starts with the command of the deploy file.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE [arguments]")
		os.Exit(2)
	}
	switch os.Args[1] {
	case "drill":
		drill()
	case "stopping":
		stopping()
	case "stress":
		stress()
	case "crashing":
		os.Exit(crashing(os.Args[2]))
	case "draining":
		os.Exit(draining(os.Args[2]))
	case "unreadable":
		os.Exit(unreadable(os.Args[2]))
	case "forged":
		os.Exit(forged(os.Args[2]))
	default:
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
}
