package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A reboot order that the platform has accepted must be sent again under the same name
// when the connection is cut before the worker answers, as in the first two calls here;
// otherwise the reboot is lost or is carried out twice.
func TestRebootOverCutLink(t *testing.T) {
	var orders []string
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var in struct {
			Reboot bool   `json:"reboot"`
			Order  string `json:"order"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		if in.Reboot {
			orders = append(orders, in.Order)
		}
		if len(orders) < 3 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer srv.Close()
	forwardReboot(strings.TrimPrefix(srv.URL, "http://"))
	require.Len(t, orders, 3)
	require.NotEmpty(t, orders[0])
	require.Equal(t, orders[0], orders[2], "one order, however often it is passed on")
}
