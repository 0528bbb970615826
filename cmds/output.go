package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// listing writes rows with aligned columns; the first row holds the column
// headings.
type listing struct{ w *tabwriter.Writer }

func newListing(w io.Writer, headings ...string) *listing {
	t := &listing{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	fmt.Fprintln(t.w, strings.ToUpper(strings.Join(headings, "\t")))
	return t
}

// row writes one row; an empty string is shown as a dash.
func (t *listing) row(columns ...any) {
	for i, c := range columns {
		if i > 0 {
			fmt.Fprint(t.w, "\t")
		}
		if c == "" {
			c = "-"
		}
		fmt.Fprint(t.w, c)
	}
	fmt.Fprintln(t.w)
}

func (t *listing) flush() error { return t.w.Flush() }

func writeJSON(w io.Writer, v any) error { return json.NewEncoder(w).Encode(v) }

// writeIndentedJSON writes an entry's JSON response, indented; an empty one is
// written as an empty object.
func writeIndentedJSON(w io.Writer, body []byte) error {
	if len(bytes.TrimSpace(body)) == 0 {
		body = []byte("{}")
	}
	var b bytes.Buffer
	if err := json.Indent(&b, bytes.TrimSpace(body), "", "  "); err != nil {
		return fmt.Errorf("entry's response is not JSON: %w", err)
	}
	_, err := fmt.Fprintln(w, b.String())
	return err
}

// stringOrEmpty returns the string that s points to, or "" for nil.
func stringOrEmpty(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}
