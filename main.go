// Command shallotpaddle manages fleet capacity and maintenance.
package main

import (
	"context"
	"os"
	_ "time/tzdata" // entry hosts need no time zone database

	"shallotpaddle/cmds"
)

func main() {
	os.Exit(cmds.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
