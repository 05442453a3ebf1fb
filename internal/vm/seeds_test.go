package vm

import (
	"net/http"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/settings"
	"github.com/eelgrassreach/eelgrassreach/internal/telemetry"
)

// A VM that knows no peers yet fetches from the VMs named in its settings, except itself.
func TestFetchAddressesIncludeSeeds(t *testing.T) {
	metrics := &telemetry.Metrics{Scope: tally.NoopScope, Handler: http.NotFoundHandler()}
	n := newNode(settings.Serve{
		AZ: "a", Advertise: "10.0.0.1:1", Platform: "http://127.0.0.1:1", Peers: []string{"10.0.0.1:1", "10.0.0.2:1"},
		AppendRate: 1, MaxConns: 16, TicketTTL: time.Minute,
	}, zap.NewNop(), metrics)
	assert.DeepEqual(t, n.fetchAddresses(), []string{"10.0.0.2:1"})
}
