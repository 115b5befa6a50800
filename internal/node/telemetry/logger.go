package telemetry

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger makes a logger of JSON lines whose level can be changed while it runs.
func NewLogger(output io.Writer, level zap.AtomicLevel) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "time"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.Lock(zapcore.AddSync(output)), level)
	return zap.New(core)
}
