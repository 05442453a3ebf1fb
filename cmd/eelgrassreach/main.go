// Command eelgrassreach is the scheduler and its client.
package main

import "os"

func main() {
	os.Exit(2)
}
