package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"
	goahttp "goa.design/goa/v3/http"
	"golang.org/x/net/netutil"

	"shallotpaddle/conf"
	"shallotpaddle/endpt"
	"shallotpaddle/gen/fleet"
	"shallotpaddle/gen/health"
	fleetserver "shallotpaddle/gen/http/fleet/server"
	healthserver "shallotpaddle/gen/http/health/server"
	workserver "shallotpaddle/gen/http/work/server"
	"shallotpaddle/gen/work"
	"shallotpaddle/intake"
)

// idleTimeout is how long a connection may stay open without a request.
const idleTimeout = 2 * time.Minute

// CallerHandler returns the handler of the callers' listener.
func CallerHandler(w *Work, h *Health, logger *log.Logger, limits conf.Listener, gate *intake.Gate) http.Handler {
	mux := goahttp.NewMuxer()
	logWriteError := writeErrorLogger(logger)
	workserver.Mount(mux, workserver.New(work.NewEndpoints(w), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, logWriteError, nil))
	mountHealth(mux, h, logWriteError)
	return limitRequests(limitBody(closeWhenStopping(mux, h), limits, gate), gate)
}

// limitRequests bounds the number of requests in progress, without probes.
func limitRequests(next http.Handler, gate *intake.Gate) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == livePath || r.URL.Path == readyPath {
			next.ServeHTTP(w, r)
			return
		}
		leave, ok := gate.Enter(r.Context())
		if !ok {
			refuse(w, "too many requests are in progress")
			return
		}
		defer leave()
		next.ServeHTTP(w, r)
	})
}

// Paths of the probes in the API.
const (
	livePath  = "/healthz"
	readyPath = "/readyz"
)

// abandonBody ends the connection after the answer, and lets the server not wait for the rest of the body.
func abandonBody(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) // only real connections have deadlines
}

// refuse answers a request that was not taken up for lack of room. Its connection ends, as the rest of
// the request is not read.
func refuse(w http.ResponseWriter, message string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Outcome", outcomeNotRun)
	h.Set("Retry-After", "1")
	h.Set("Goa-Error", "not_run")
	abandonBody(w)
	w.WriteHeader(http.StatusServiceUnavailable)
	// The error is ignored: a caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(struct {
		Name    string `json:"name"`
		Message string `json:"message"`
	}{"not_run", message})
}

// closeWhenStopping closes connections after their next response once the entry
// is stopping, so that few idle connections are left when the listener closes.
func closeWhenStopping(next http.Handler, h *Health) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.entry.IsStopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// OperatorHandler returns the handler of the operators' listener.
func OperatorHandler(f *Fleet, h *Health, logger *log.Logger, limits conf.Listener, gate *intake.Gate) http.Handler {
	mux := goahttp.NewMuxer()
	logWriteError := writeErrorLogger(logger)
	fleetserver.Mount(mux, fleetserver.New(fleet.NewEndpoints(f), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, logWriteError, nil))
	mountHealth(mux, h, logWriteError)
	return limitBody(mux, limits, gate)
}

func mountHealth(mux goahttp.Muxer, h *Health, logWriteError func(context.Context, http.ResponseWriter, error)) {
	healthserver.Mount(mux, healthserver.New(health.NewEndpoints(h), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, logWriteError, nil))
}

// writeErrorLogger returns a function that logs a failure to write a response.
func writeErrorLogger(logger *log.Logger) func(context.Context, http.ResponseWriter, error) {
	return func(_ context.Context, _ http.ResponseWriter, err error) {
		logger.Warn().Err(err).Msg("failed to write response")
	}
}

// bodyLengthKey is the context key of a request's declared body length.
type bodyLengthKey struct{}

// bodyLength returns the declared length of the request's body, -1 when unknown.
func bodyLength(ctx context.Context) int64 {
	if n, ok := ctx.Value(bodyLengthKey{}).(int64); ok {
		return n
	}
	return -1
}

// heldBytes is what the process holds at most for a request with a body: the bytes that
// are kept for another dispatch, and those on their way to the worker.
const heldBytes = 2 * endpt.ReplayLimit

// limitBody bounds the size of request bodies, the pauses within them, and what bodies
// take together, and puts their declared length into the request's context.
func limitBody(next http.Handler, limits conf.Listener, gate *intake.Gate) http.Handler {
	limit := int64(limits.MaxBodyBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > limit {
			w.Header().Set("Outcome", outcomeNotRun)
			abandonBody(w)
			http.Error(w, fmt.Sprintf("body of %d bytes is above the limit of %d", r.ContentLength, limit), http.StatusRequestEntityTooLarge)
			return
		}
		r = r.WithContext(context.WithValue(r.Context(), bodyLengthKey{}, r.ContentLength))
		if r.ContentLength != 0 {
			body, err := gate.Stream(r, heldBytes)
			if err != nil {
				refuse(w, err.Error())
				return
			}
			r.Body = body
		}
		bw, r := newBodyAwareWriter(w, r, limits)
		defer bw.body.detach()
		next.ServeHTTP(bw, r)
	})
}

// Server is the HTTP server of one listener.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// NewServer returns a server that applies a listener's limits to a handler. Without a gate, connections
// beyond the limit wait.
func NewServer(h http.Handler, ln net.Listener, limits conf.Listener, gate *intake.Gate, bounds intake.Bounds) *Server {
	s := &Server{http: &http.Server{
		Handler: h, ReadHeaderTimeout: limits.HeaderTimeout.Std(), IdleTimeout: idleTimeout, MaxHeaderBytes: limits.MaxHeaderBytes,
	}}
	if gate == nil {
		s.listener = netutil.LimitListener(ln, limits.MaxConns)
	} else {
		s.listener = gate.Attach(s.http, ln, bounds)
	}
	return s
}

// Serve accepts connections until Stop or Close; the error names the address.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", s.listener.Addr(), err)
	}
	return nil
}

// Stop closes the listener and waits for requests in flight until ctx ends.
func (s *Server) Stop(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes the connections that Stop has left open.
func (s *Server) Close() error { return s.http.Close() }
