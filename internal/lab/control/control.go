// Package control has the HTTP calls by which tests steer stand-in processes: JSON bodies, answered by 204, by 200 with
// JSON, or by 400 with what is wrong. It owns the control server of a stand-in, and is the client of it.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gin-gonic/gin"
)

// callTimeout bounds a control call.
const callTimeout = 90 * time.Second

// NewRouter returns a router without routes that answers a panicking handler's call with status 500.
func NewRouter() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.Use(gin.Recovery())
	return router
}

// Serve serves control calls until the context ends, unless the address is empty.
func Serve(ctx context.Context, address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: callTimeout}
	stop := context.AfterFunc(ctx, func() {
		if err := server.Close(); err != nil {
			return
		}
	})
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Read decodes the body of a call strictly. It answers a malformed call itself and returns false.
func Read(c *gin.Context, target any) bool {
	decoder := json.NewDecoder(c.Request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		Refuse(c, err)
		return false
	}
	return true
}

// refusal is the body of an answer with status 400.
type refusal struct {
	Error string `json:"error"`
}

// Refuse answers a call by status 400 with an error.
func Refuse(c *gin.Context, err error) {
	c.JSON(http.StatusBadRequest, refusal{Error: err.Error()})
}

// Put makes a control call with a body.
func Put(ctx context.Context, address, path string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return call(ctx, http.MethodPut, address, path, content, nil)
}

// Get makes a control call and decodes its answer.
func Get(ctx context.Context, address, path string, answer any) error {
	return call(ctx, http.MethodGet, address, path, nil, answer)
}

func call(ctx context.Context, method, address, path string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return merry.Prepend(err, "control call")
	}
	defer func() {
		if err := response.Body.Close(); err != nil {
			return
		}
	}()
	if response.StatusCode >= http.StatusBadRequest {
		return merry.Errorf("control call %s: %s", path, response.Status)
	}
	if answer == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(answer)
}
