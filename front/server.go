package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"
	goahttp "goa.design/goa/v3/http"
	"golang.org/x/net/netutil"

	"shallotpaddle/conf"
	"shallotpaddle/gen/fleet"
	"shallotpaddle/gen/health"
	fleetserver "shallotpaddle/gen/http/fleet/server"
	healthserver "shallotpaddle/gen/http/health/server"
	workserver "shallotpaddle/gen/http/work/server"
	"shallotpaddle/gen/work"
)

// idleTimeout is how long a connection may stay open without a request.
const idleTimeout = 2 * time.Minute

// CallerHandler returns the handler of the callers' listener.
func CallerHandler(w *Work, h *Health, logger *log.Logger, limits conf.Listener) http.Handler {
	mux := goahttp.NewMuxer()
	logWriteError := writeErrorLogger(logger)
	workserver.Mount(mux, workserver.New(work.NewEndpoints(w), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, logWriteError, nil))
	mountHealth(mux, h, logWriteError)
	return limitBody(closeWhenStopping(mux, h), limits)
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
func OperatorHandler(f *Fleet, h *Health, logger *log.Logger, limits conf.Listener) http.Handler {
	mux := goahttp.NewMuxer()
	logWriteError := writeErrorLogger(logger)
	fleetserver.Mount(mux, fleetserver.New(fleet.NewEndpoints(f), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, logWriteError, nil))
	mountHealth(mux, h, logWriteError)
	return limitBody(mux, limits)
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

// limitBody bounds the size of request bodies and the pauses within them, and
// puts their declared length into the request's context.
func limitBody(next http.Handler, limits conf.Listener) http.Handler {
	limit := int64(limits.MaxBodyBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > limit {
			w.Header().Set("Outcome", outcomeNotRun)
			w.Header().Set("Connection", "close")
			http.Error(w, fmt.Sprintf("body of %d bytes is above the limit of %d", r.ContentLength, limit), http.StatusRequestEntityTooLarge)
			return
		}
		ctx := context.WithValue(r.Context(), bodyLengthKey{}, r.ContentLength)
		bw, r := newBodyAwareWriter(w, r.WithContext(ctx), limits)
		defer bw.body.detach()
		next.ServeHTTP(bw, r)
	})
}

// Server is the HTTP server of one listener.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// NewServer returns a server that applies a listener's limits to a handler.
func NewServer(h http.Handler, ln net.Listener, limits conf.Listener) *Server {
	return &Server{
		listener: netutil.LimitListener(ln, limits.MaxConns),
		http: &http.Server{
			Handler: h, ReadHeaderTimeout: limits.HeaderTimeout.Std(), IdleTimeout: idleTimeout, MaxHeaderBytes: limits.MaxHeaderBytes,
		},
	}
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
