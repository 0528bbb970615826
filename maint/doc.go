// Package maint plans maintenance waves and takes hosts through planned outages:
// drain, reboot, probation and return to service. It also detects failed hosts and
// their recovery.
//
// It only proposes changes. Whether a change is permitted is decided by the pool's
// outage document.
package maint
