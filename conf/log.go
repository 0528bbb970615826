package conf

import "slices"

// Log tells what the process logs.
type Log struct {
	// Level is the lowest level written, one of Levels.
	Level string `yaml:"level"`
}

// DefaultLogLevel is the lowest log level written.
const DefaultLogLevel = "info"

// LogLevels are the log levels, lowest first.
var LogLevels = []string{"debug", "info", "warn", "error"}

func (l *Log) check(c *checker) {
	if !slices.Contains(LogLevels, l.Level) {
		c.addFault("log.level", "%q is not one of %v", l.Level, LogLevels)
	}
}
