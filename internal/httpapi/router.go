// Package httpapi serves the HTTP API with the handlers of packages command and query.
package httpapi

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/command"
	"github.com/eelgrassreach/eelgrassreach/internal/query"
)

// Options configures the router.
type Options struct {
	Commands     *command.Handler
	Queries      *query.Handler
	Metrics      http.Handler
	PeerServices []PeerService
	Logger       *zap.Logger
	MaxBody      int64 // bytes
	Now          func() time.Time
}

// PeerService is a generated Twirp server, mounted at its path prefix.
type PeerService interface {
	http.Handler
	PathPrefix() string
}

// server implements the HTTP handlers.
type server struct {
	Options
}

// NewRouter returns the handler of a VM's listener. It serves the API under /v1, the
// load balancer's probes, the metrics page and the peer services.
func NewRouter(o Options) http.Handler {
	s := &server{Options: o}
	r := chi.NewRouter()
	r.Route("/v1", s.routes)
	r.Get("/healthz", s.health)
	r.Get("/readyz", s.ready)
	r.Method(http.MethodGet, "/metrics", o.Metrics)
	for _, p := range o.PeerServices {
		r.Mount(p.PathPrefix(), p)
	}
	r.NotFound(notFound)
	return otelhttp.NewHandler(r, "vm", otelhttp.WithSpanNameFormatter(spanName), otelhttp.WithFilter(shouldTrace))
}

func (s *server) routes(r chi.Router) {
	r.Use(s.logRequests)
	r.Use(s.limitBody)
	r.Route("/config", func(r chi.Router) {
		r.Get("/", s.getConfig)
		r.Get("/history", s.getConfigHistory)
		r.Post("/changes", s.postConfigChange)
		r.Get("/changes/{id}", s.getConfigChange)
	})
	r.Route("/jobs", func(r chi.Router) {
		r.Get("/", s.listJobs)
		r.Post("/", s.submitJob)
		r.Post("/cancel", s.cancelJobs)
		r.Get("/{id}", s.getJob)
	})
	r.Post("/requests", s.runRequest)
	r.Get("/requests/{id}", s.getOutcome)
	r.Post("/tickets", s.mintTicket)
	r.Get("/status", s.getStatus)
}

func spanName(_ string, r *http.Request) string {
	return r.Method + " " + r.URL.Path
}

// shouldTrace excludes probes, the metrics page and heartbeats from tracing.
func shouldTrace(r *http.Request) bool {
	switch r.URL.Path {
	case "/healthz", "/readyz", "/metrics", "/twirp/eelgrassreach.peer.Control/Heartbeat":
		return false
	default:
		return true
	}
}

func (s *server) limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, s.MaxBody)
		next.ServeHTTP(w, r)
	})
}

// statusRecorder records the status of an answer for the log.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the status and passes it on.
func (w *statusRecorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

func (s *server) logRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := s.Now()
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, r)
		s.Logger.Debug("http request",
			zap.String("method", r.Method),
			zap.String("path", r.URL.Path),
			zap.Int("status", recorder.status),
			zap.Duration("took", s.Now().Sub(start)))
	})
}

func (s *server) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (s *server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.Queries.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
