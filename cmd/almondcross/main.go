package main

import (
	"os"

	"github.com/almondcross/almondcross/assembler"
)

func main() {
	os.Exit(assembler.Main(os.Args[1:]))
}
