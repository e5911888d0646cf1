// Command chivecroft serves rarely used models.
package main

import (
	"os"

	"chivecroft.example/chivecroft/internal/shell"
)

func main() {
	os.Exit(shell.Run(os.Args[1:], shell.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
