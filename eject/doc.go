// Package eject is outlier detection: it takes hosts out of service whose tasks
// fail at a much higher rate than those on the rest of their pool.
//
// When many hosts of a pool fail at once, the cause is assumed to lie
// elsewhere, such as bad input or a broken dependency, and no host is ejected.
package eject
