// Trefoillined is the daemon of an entry host.
package main

import (
	"os"

	"trefoilline.example/trefoilline/internal/daemon"
)

func main() {
	if daemon.NewCommand().Execute() != nil {
		os.Exit(1)
	}
}
