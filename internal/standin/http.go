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

// The paths of the control API, to which faults do not apply.
const (
	PathFault  = "/v1/fault"
	PathRecord = "/v1/record"
)

const maxBodyBytes = 64 << 20

// newRouter returns a router with the control API and the routes that addRoutes adds.
// Faults are injected only into the latter.
func newRouter(i *faultInjector, setFault func(Fault), record func() any, addRoutes func(chi.Router)) http.Handler {
	calls := chi.NewRouter()
	addRoutes(calls)
	root := chi.NewRouter()
	root.Put(PathFault, func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if !decode(w, r, &f) {
			return
		}
		setFault(f)
		reply(w, f)
	})
	root.Get(PathFault, func(w http.ResponseWriter, _ *http.Request) { reply(w, i.current()) })
	root.Get(PathRecord, func(w http.ResponseWriter, _ *http.Request) { reply(w, record()) })
	root.Mount("/", buffered(i.injectFaults(calls)))
	return otelhttp.NewHandler(root, "standin")
}

// buffered returns a handler that reads the whole body before it calls next.
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

// decode decodes a JSON body. If it is invalid, decode refuses the call and returns false.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		replyProblem(w, http.StatusBadRequest, ports.Problem{Effect: ports.EffectNone, Message: err.Error()})
		return false
	}
	return true
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has disconnected
}

func refuse(w http.ResponseWriter, message string) {
	replyProblem(w, http.StatusServiceUnavailable, ports.Problem{Effect: ports.EffectNone, Message: message})
}

func replyProblem(w http.ResponseWriter, status int, p ports.Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p) // an error means that the caller has disconnected
}
