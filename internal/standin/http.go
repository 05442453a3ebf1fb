package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// The paths of the controls, which faults don't touch.
const (
	PathFault  = "/v1/fault"
	PathRecord = "/v1/record"
)

const maxBodyBytes = 64 << 20

// newRouter returns a router with the controls and, under the faults, the calls
// that mount adds.
func newRouter(s *switches, setFault func(Fault), record func() any, mount func(chi.Router)) http.Handler {
	calls := chi.NewRouter()
	mount(calls)
	root := chi.NewRouter()
	root.Put(PathFault, func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if !decode(w, r, &f) {
			return
		}
		setFault(f)
		reply(w, f)
	})
	root.Get(PathFault, func(w http.ResponseWriter, _ *http.Request) { reply(w, s.current()) })
	root.Get(PathRecord, func(w http.ResponseWriter, _ *http.Request) { reply(w, record()) })
	root.Mount("/", buffered(s.wrap(calls)))
	return otelhttp.NewHandler(root, "standin")
}

// buffered reads the whole body before it calls next.
func buffered(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil {
			abort()
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// decode reads a JSON body and refuses the call when it can't.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		problem(w, http.StatusBadRequest, ports.Problem{Effect: ports.EffectNone, Message: err.Error()})
		return false
	}
	return true
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller is gone
}

func refuse(w http.ResponseWriter, message string) {
	problem(w, http.StatusServiceUnavailable, ports.Problem{Effect: ports.EffectNone, Message: message})
}

func problem(w http.ResponseWriter, status int, p ports.Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p) // an error means that the caller is gone
}
