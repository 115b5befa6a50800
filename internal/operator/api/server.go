// Package api serves callers and operators over HTTP. Each of the two servers accepts gRPC, gRPC-Web and JSON on one
// port, with connect handlers on a gin router.
//
// It passes calls to the packages search and admin, and translates between failures and RPC codes.
package api

import (
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"connectrpc.com/connect"
	"connectrpc.com/grpchealth"
	"connectrpc.com/grpcreflect"
	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/gen/portgauge/admin/v1/adminv1connect"
	"github.com/portgauge/portgauge/gen/portgauge/search/v1/searchv1connect"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/configsync"
	"github.com/portgauge/portgauge/internal/httpdrain"
	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/node/telemetry"
	"github.com/portgauge/portgauge/internal/operator/admin"
	"github.com/portgauge/portgauge/internal/request/search"
)

// Limits on the size of requests, and on the time that a client may take to send one.
const (
	maximumSearchBytes = 64 << 10
	maximumAdminBytes  = 4 << 20
	maximumHeaderBytes = 64 << 10
	readHeaderTimeout  = 5 * time.Second
	readTimeout        = 15 * time.Second
	idleTimeout        = 2 * time.Minute
)

type CallerDeps struct {
	Engine *search.Engine
	// Memory is the budget for calls; nil if it is unlimited.
	Memory *memorybudget.Budget
}

// NewCallerHandler returns the handler for SearchService, health checks and reflection.
func NewCallerHandler(deps CallerDeps) http.Handler {
	router := newRouter()
	router.Use(limitMemory(deps.Memory, memorybudget.Caller, maximumSearchBytes))
	mount(router)(searchv1connect.NewSearchServiceHandler(&searchHandler{engine: deps.Engine}, connect.WithReadMaxBytes(maximumSearchBytes)))
	mountStandard(router, deps.Engine, searchv1connect.SearchServiceName)
	mountHealth(router, deps.Engine)
	return router
}

type OperatorDeps struct {
	Admin   *admin.Admin
	Catalog *catalog.Catalog
	Syncer  *configsync.Syncer
	Engine  *search.Engine
	Metrics *telemetry.Metrics
	Level   zap.AtomicLevel
	NodeID  string
	// Memory is the budget for calls; nil if it is unlimited.
	Memory *memorybudget.Budget
}

// NewOperatorHandler returns the handler for AdminService, metrics, the log level, profiles and health checks.
func NewOperatorHandler(deps OperatorDeps) http.Handler {
	router := newRouter()
	router.Use(limitMemory(deps.Memory, memorybudget.Operator, maximumAdminBytes))
	handler := &adminHandler{admin: deps.Admin, catalog: deps.Catalog, syncer: deps.Syncer, engine: deps.Engine, nodeID: deps.NodeID}
	mount(router)(adminv1connect.NewAdminServiceHandler(handler, connect.WithReadMaxBytes(maximumAdminBytes)))
	mountStandard(router, deps.Engine, adminv1connect.AdminServiceName)
	mountHealth(router, deps.Engine)
	router.GET("/metrics", gin.WrapH(promhttp.HandlerFor(deps.Metrics.Registry, promhttp.HandlerOpts{})))
	router.GET("/metrics/brief", gin.WrapH(promhttp.HandlerFor(telemetry.Brief{Whole: deps.Metrics.Registry}, promhttp.HandlerOpts{})))
	router.GET("/loglevel", gin.WrapH(deps.Level))
	router.PUT("/loglevel", gin.WrapH(deps.Level))
	mountProfiles(router)
	return router
}

func newRouter() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.Use(gin.Recovery())
	return router
}

// mount returns a function that registers a connect handler under its path. It accepts the results of the generated
// handler constructors.
func mount(router *gin.Engine) func(path string, handler http.Handler) {
	return func(path string, handler http.Handler) {
		router.Any(path+"*method", gin.WrapH(handler))
	}
}

// mountStandard serves gRPC health checking and server reflection.
func mountStandard(router *gin.Engine, engine *search.Engine, service string) {
	mount(router)(grpchealth.NewHandler(&healthChecker{engine: engine, service: service}))
	reflector := grpcreflect.NewStaticReflector(service, grpchealth.HealthV1ServiceName)
	mount(router)(grpcreflect.NewHandlerV1(reflector))
	mount(router)(grpcreflect.NewHandlerV1Alpha(reflector))
}

func mountHealth(router *gin.Engine, engine *search.Engine) {
	router.GET("/healthz", func(c *gin.Context) { c.Status(http.StatusOK) })
	router.GET("/readyz", func(c *gin.Context) { c.Status(statusOf(engine.Ready())) })
}

func mountProfiles(router *gin.Engine) {
	router.GET("/debug/pprof/*profile", func(c *gin.Context) {
		switch c.Param("profile") {
		case "/cmdline":
			pprof.Cmdline(c.Writer, c.Request)
		case "/profile":
			pprof.Profile(c.Writer, c.Request)
		case "/symbol":
			pprof.Symbol(c.Writer, c.Request)
		case "/trace":
			pprof.Trace(c.Writer, c.Request)
		default:
			pprof.Index(c.Writer, c.Request)
		}
	})
}

// NewServer returns a server for HTTP/1.1 and HTTP/2, both without TLS.
func NewServer(handler http.Handler) *httpdrain.Server {
	return newServer(handler, httpdrain.DefaultConfig())
}

func newServer(handler http.Handler, drainConfig httpdrain.Config) *httpdrain.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return httpdrain.New(drainConfig, &http.Server{
		Handler:        handler,
		Protocols:      protocols,
		MaxHeaderBytes: maximumHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerConnection: maximumUnreadBytes,
			MaxReceiveBufferPerStream:     maximumUnreadStreamBytes,
		},
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	})
}

// Serve serves until the server is shut down. If the server fails, it logs the error and returns.
func Serve(server *httpdrain.Server, listener net.Listener, logger *zap.Logger) {
	if err := server.Serve(listener); err != nil {
		logger.Error("server failed; it accepts no more connections", zap.String("address", listener.Addr().String()), zap.Error(err))
	}
}
