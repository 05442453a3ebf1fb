// Command report reads the output of the matrix tests from standard input and
// prints the fault matrix. It exits with 1 when a cell is red.
package main

import (
	"fmt"
	"os"

	"github.com/eelgrassreach/eelgrassreach/internal/faultmatrix"
)

func main() {
	summary, err := faultmatrix.ReadResults(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if summary.Write(os.Stdout) > 0 {
		os.Exit(1)
	}
}
