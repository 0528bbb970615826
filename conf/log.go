package conf

import "slices"

// Log has the settings of the log.
type Log struct {
	// Level is the lowest level that is logged, one of LogLevels.
	Level string `yaml:"level"`
}

// DefaultLogLevel is the default of the lowest level that is logged.
const DefaultLogLevel = "info"

// LogLevels are the log levels, lowest first.
var LogLevels = []string{"debug", "info", "warn", "error"}

func (l *Log) check(c *checker) {
	if !slices.Contains(LogLevels, l.Level) {
		c.addFault("log.level", "%q is not one of %v", l.Level, LogLevels)
	}
}
