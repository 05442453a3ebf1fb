package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// controlTimeout bounds one call to the control API of a stand-in.
const controlTimeout = 5 * time.Second

// PutFault sets the active fault of the stand-in at baseURL.
func PutFault(ctx context.Context, baseURL string, f Fault) error {
	return control(ctx, http.MethodPut, baseURL+PathFault, f, nil)
}

// PutVM adds or replaces an entry in the VM list of the platform at baseURL.
func PutVM(ctx context.Context, baseURL string, e ports.VMEntry) error {
	return control(ctx, http.MethodPut, baseURL+ports.PathVMs, e, nil)
}

// RemoveVM removes an address from the VM list of the platform at baseURL.
func RemoveVM(ctx context.Context, baseURL, address string) error {
	query := url.Values{ParamAddress: {address}}
	return control(ctx, http.MethodDelete, baseURL+ports.PathVMs+"?"+query.Encode(), nil, nil)
}

// GetBackendRecord returns the record of the backend server at baseURL.
func GetBackendRecord(ctx context.Context, baseURL string) (BackendRecord, error) {
	var r BackendRecord
	err := control(ctx, http.MethodGet, baseURL+PathRecord, nil, &r)
	return r, err
}

// GetPlatformRecord returns the record of the platform at baseURL.
func GetPlatformRecord(ctx context.Context, baseURL string) (PlatformRecord, error) {
	var r PlatformRecord
	err := control(ctx, http.MethodGet, baseURL+PathRecord, nil, &r)
	return r, err
}

// control sends one call to the control API. The answer is not decoded if into is nil.
func control(ctx context.Context, method, target string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("control: %s %s: status %d", method, target, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("control: decode: %w", err)
	}
	return nil
}
