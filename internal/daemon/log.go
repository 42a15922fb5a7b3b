package daemon

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"trefoilline.example/trefoilline/observe"
)

// newLog returns a log to an output. It samples nothing: what becomes of each request
// that fails must be found.
func newLog(out io.Writer, host, format string, level zap.AtomicLevel) observe.Log {
	core := zapcore.NewCore(newEncoder(format), zapcore.AddSync(out), level)
	return observe.Log{
		Logger: zap.New(core).With(zap.String("host", host)),
	}
}

// newEncoder returns what writes lines in a format that the settings accept.
func newEncoder(format string) zapcore.Encoder {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	if format == logFormatConsole {
		return zapcore.NewConsoleEncoder(config)
	}
	return zapcore.NewJSONEncoder(config)
}
