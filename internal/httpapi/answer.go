package httpapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/api"
	"github.com/eelgrassreach/eelgrassreach/internal/command"
	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only when the client has disconnected
}

func writeProblem(w http.ResponseWriter, p api.Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	setRetryAfter(w, time.Duration(p.RetryAfterMS)*time.Millisecond)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// setRetryAfter sets the Retry-After header, rounded up to whole seconds.
func setRetryAfter(w http.ResponseWriter, d time.Duration) {
	if d > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(d.Seconds()))))
	}
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeNotFound(w, "no such resource: "+r.URL.Path)
}

func writeNotFound(w http.ResponseWriter, detail string) {
	writeProblem(w, api.Problem{
		Type:   api.ProblemNotFound,
		Title:  "not found",
		Status: http.StatusNotFound,
		Detail: detail,
	})
}

func writeBadRequest(w http.ResponseWriter, detail string) {
	writeProblem(w, api.Problem{
		Type:   api.ProblemBadRequest,
		Title:  "bad request",
		Status: http.StatusBadRequest,
		Detail: detail,
	})
}

// writeError writes the error of a command as a problem.
func writeError(w http.ResponseWriter, err error) {
	var invalid *command.InvalidError
	var refusal *control.Refusal
	switch {
	case errors.As(err, &invalid):
		writeProblem(w, api.Problem{
			Type: api.ProblemBadRequest, Title: "invalid fields", Status: http.StatusUnprocessableEntity,
			Detail: err.Error(), Findings: invalid.Findings,
		})
	case errors.As(err, &refusal):
		writeProblem(w, api.Problem{
			Type: api.ProblemRefused, Title: "refused", Status: refusalStatus(refusal),
			Detail: refusal.Message, Reason: refusal.Reason, RetryAfterMS: refusal.RetryAfter.Milliseconds(),
		})
	case errors.Is(err, ports.ErrUnavailable):
		writeProblem(w, api.Problem{
			Type: api.ProblemUnavailable, Title: "unavailable", Status: http.StatusServiceUnavailable, Detail: err.Error(),
		})
	default:
		writeProblem(w, api.Problem{
			Type: api.ProblemInDoubt, Title: "in doubt", Status: http.StatusGatewayTimeout, Detail: err.Error(),
		})
	}
}

// refusalStatus returns 503 for a refusal that a retry may resolve, otherwise 422.
func refusalStatus(r *control.Refusal) int {
	if r.RetryAfter > 0 {
		return http.StatusServiceUnavailable
	}
	return http.StatusUnprocessableEntity
}

// readJSON decodes the whole body into out. On failure it writes an error answer and
// returns false.
func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		writeBadRequest(w, decodeDetail(err))
		return false
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		writeBadRequest(w, "more than one JSON value in the body")
		return false
	}
	return true
}

// decodeDetail describes a decoding error, with its position if the decoder reports one.
func decodeDetail(err error) string {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Sprintf("body, byte %d: %s", syntax.Offset, err)
	case errors.As(err, &mismatch):
		return fmt.Sprintf("body, field %s, byte %d: %s", mismatch.Field, mismatch.Offset, err)
	default:
		return "body: " + err.Error()
	}
}

// parseDuration parses an optional duration. On failure it writes an error answer and
// returns false.
func parseDuration(w http.ResponseWriter, field, text string) (time.Duration, bool) {
	if text == "" {
		return 0, true
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		writeBadRequest(w, fmt.Sprintf("%s: %q is not a duration such as 90s", field, text))
		return 0, false
	}
	return d, true
}
