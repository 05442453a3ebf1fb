package ports_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/standin"
)

// countingWriter records the status of a response and counts the bytes of its body.
type countingWriter struct {
	http.ResponseWriter
	status int
	bytes  int
}

func (w *countingWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes += len(p)
	return w.ResponseWriter.Write(p)
}

func TestUnchangedStatusHasNoBody(t *testing.T) {
	backend := standin.NewBackend("b1", 8, 8)
	var last countingWriter
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		last = countingWriter{ResponseWriter: w, status: http.StatusOK}
		backend.Handler().ServeHTTP(&last, r)
	}))
	defer server.Close()
	dialer := ports.NewHTTPDialer(ports.DialerOptions{})
	defer dialer.Close()
	port := dialer.Backend(strings.TrimPrefix(server.URL, "http://"))

	first, err := port.Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, last.status, http.StatusOK)
	again, err := port.Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, last.status, http.StatusNotModified)
	assert.Equal(t, last.bytes, 0)
	assert.DeepEqual(t, again, first)

	batch := ports.CommandBatch{Commands: []ports.TaskCommand{
		{Verb: ports.VerbHold, Task: "t", Accelerators: 2, Lease: time.Minute},
	}}
	_, err = port.Command(t.Context(), batch)
	assert.NilError(t, err)
	changed, err := port.Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, last.status, http.StatusOK)
	assert.Equal(t, len(changed.Tasks), 1)
}

// Free slots are sent in a header, so that a change of them does not transfer the tasks again.
func TestFreeSlotsOfAnUnchangedStatus(t *testing.T) {
	slots := "8"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `"a"`)
		w.Header().Set(ports.HeaderFreeSlots, slots)
		if r.Header.Get("If-None-Match") != "" {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		_, _ = w.Write([]byte(`{"id":"b1","freeSlots":8}`))
	}))
	defer server.Close()
	dialer := ports.NewHTTPDialer(ports.DialerOptions{})
	defer dialer.Close()
	port := dialer.Backend(strings.TrimPrefix(server.URL, "http://"))
	_, err := port.Status(t.Context())
	assert.NilError(t, err)
	slots = "3"
	status, err := port.Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, status.FreeSlots, 3)
	assert.Equal(t, string(status.ID), "b1")
}
