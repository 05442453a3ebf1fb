package job

import (
	"testing"

	"github.com/eelgrassreach/eelgrassreach/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }
