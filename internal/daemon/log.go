package daemon

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"trefoilline.example/trefoilline/observe"
)

// newLog returns a log that writes to an output. It does not sample lines, because the
// outcome of each failed request must be in the log.
func newLog(out io.Writer, host, format string, level zap.AtomicLevel) observe.Log {
	core := zapcore.NewCore(newEncoder(format), zapcore.AddSync(out), level)
	return observe.Log{
		Logger: zap.New(core).With(zap.String("host", host)),
	}
}

// newEncoder returns the encoder of one of the formats that the settings accept.
func newEncoder(format string) zapcore.Encoder {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	if format == logFormatConsole {
		return zapcore.NewConsoleEncoder(config)
	}
	return zapcore.NewJSONEncoder(config)
}
