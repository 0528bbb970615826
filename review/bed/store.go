package bed

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// gate stands between one entry and the store.
type gate struct {
	bed    *Bed
	entry  string
	silent atomic.Bool // calls get no answer
	// late is how long after its arrival a transaction that gets no answer is carried out; 0
	// for never.
	late atomic.Int64
}

// ServeHTTP passes a call on, or leaves it without an answer.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !g.silent.Load() {
		g.bed.store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if late := time.Duration(g.late.Load()); late > 0 && r.URL.Path == "/-/kv-txn" {
		g.bed.Rec.Add("store: %s from %s gets no answer, and is carried out in %s: %.120s", r.URL.Path, g.entry, late, body)
		time.AfterFunc(late, func() { g.carryOut(r, body) })
	} else {
		g.bed.Rec.Add("store: %s from %s gets no answer", r.URL.Path, g.entry)
	}
	<-r.Context().Done()
}

// carryOut carries out a call whose sender hears nothing of it.
func (g *gate) carryOut(r *http.Request, body []byte) {
	req, err := http.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
	if err != nil {
		return
	}
	w := &discarded{header: http.Header{}}
	g.bed.store.ServeHTTP(w, req)
	g.bed.Rec.Add("store: the late %s from %s is carried out: status %d", r.URL.Path, g.entry, w.status)
}

// discarded is an answer that nobody gets.
type discarded struct {
	header http.Header
	status int
}

func (d *discarded) Header() http.Header { return d.header }

func (d *discarded) WriteHeader(status int) { d.status = status }

func (d *discarded) Write(b []byte) (int, error) {
	if d.status == 0 {
		d.status = http.StatusOK
	}
	return len(b), nil
}

// Silence leaves the calls of an entry to the store without an answer. Its transactions are
// carried out late after their arrival, if their conditions hold then; 0 stands for never.
func (b *Bed) Silence(entry int, late time.Duration) {
	g := b.Entries[entry].gate
	g.late.Store(int64(late))
	g.silent.Store(true)
	b.Rec.Add("trouble: the store answers %s no more", g.entry)
}

// Serve ends Silence. Calls that are under way get no answer either.
func (b *Bed) Serve(entry int) {
	g := b.Entries[entry].gate
	g.silent.Store(false)
	b.Rec.Add("trouble: the store answers %s again", g.entry)
}
