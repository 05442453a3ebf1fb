// Command standin plays the platform or a backend server in tests and the demo.
package main

import "os"

func main() {
	os.Exit(2)
}
