package daemon

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"
)

// NewLogger returns a logger that writes each event as one line of key=value
// pairs (logfmt), beginning with time, level and event.
func NewLogger(w io.Writer, level string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: time.RFC3339Nano,
		Writer:     &log.ConsoleWriter{Writer: w, Formatter: format},
	}
}

// format writes an event as one line.
func format(w io.Writer, args *log.FormatterArgs) (int, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "time=%s level=%s event=%s", args.Time, args.Level, quote(args.Message))
	for _, kv := range args.KeyValues {
		fmt.Fprintf(&b, " %s=%s", kv.Key, quote(kv.Value))
	}
	b.WriteByte('\n')
	return w.Write(b.Bytes())
}

// quote quotes a value that is empty or that a logfmt parser would split.
func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " \t\r\n\"=") {
		return strconv.Quote(s)
	}
	return s
}
