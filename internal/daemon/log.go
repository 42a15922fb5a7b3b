package daemon

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"trefoilline.example/trefoilline/observe"
)

// newLog returns a log to the standard error output.
func newLog(host, format string, level zap.AtomicLevel) (observe.Log, error) {
	config := zap.NewProductionConfig()
	config.Level = level
	config.Encoding = format
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.DisableStacktrace = true
	config.DisableCaller = true
	logger, err := config.Build()
	if err != nil {
		return observe.Log{}, &LogError{
			Cause: err,
		}
	}
	return observe.Log{
		Logger: logger.With(zap.String("host", host)),
	}, nil
}
