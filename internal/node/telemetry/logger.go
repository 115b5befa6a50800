package telemetry

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes JSON lines; its level can be changed at run time.
func NewLogger(output io.Writer, level zap.AtomicLevel) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "time"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.Lock(zapcore.AddSync(output)), level)
	return zap.New(core)
}
