package measure

import (
	"os"
	"testing"
)

func TestTrial(t *testing.T) {
	if err := Requests(os.Stdout, 1); err != nil {
		t.Fatal(err)
	}
}
