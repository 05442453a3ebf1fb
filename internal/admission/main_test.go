package admission

import (
	"testing"

	"github.com/eelgrassreach/eelgrassreach/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }
