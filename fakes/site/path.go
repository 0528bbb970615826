package site

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
)

// Path is what becomes of the calls of one entry to one worker.
type Path uint8

// Paths.
const (
	Open    Path = iota
	Silent       // calls and answers are lost
	Reset        // the connection is closed without an answer
	Refused      // calls are answered as not carried out; answers are lost
)

// SetPaths sets the function that tells the path of calls to a worker with a fencing token. It
// is called before the first call is served.
func (s *Site) SetPaths(path func(worker string, fence int64) Path) { s.path = path }

// alongPath serves the calls to a worker that arrive, and loses the answers that don't.
func (s *Site) alongPath(worker string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			abort()
		}
		var in struct{ FencingToken int64 }
		_ = json.Unmarshal(body, &in) // next answers what can't be read
		r.Body = io.NopCloser(bytes.NewReader(body))
		path := func() Path { return s.path(worker, in.FencingToken) }
		if p := path(); p == Refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		} else if p != Open {
			lose(r, p)
		}
		next.ServeHTTP(&pathWriter{w, r, path}, r)
	})
}

// lose ends a call without an answer, when its sender has given up if the path is silent.
func lose(r *http.Request, p Path) {
	if p != Reset {
		<-r.Context().Done()
	}
	abort()
}

// pathWriter loses an answer that doesn't arrive.
type pathWriter struct {
	http.ResponseWriter
	call *http.Request
	path func() Path
}

func (w *pathWriter) WriteHeader(status int) {
	if p := w.path(); p != Open {
		lose(w.call, p)
	}
	w.ResponseWriter.WriteHeader(status)
}
