// Package control implements the server and the client of the HTTP control calls of stand-in processes. Requests have JSON
// bodies. They are answered with status 204, with 200 and a JSON body, or with 400 and an error.
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

const callTimeout = 90 * time.Second

// NewRouter returns a router without routes. It answers a call with status 500 if its handler panics.
func NewRouter() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.Use(gin.Recovery())
	return router
}

// Serve serves control calls until the context is done. It returns at once if the address is empty.
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

// Read decodes the JSON body of a call and rejects unknown fields. If the body is malformed, it answers with status 400 and
// returns false.
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

// Refuse answers a call with status 400 and an error.
func Refuse(c *gin.Context, err error) {
	c.JSON(http.StatusBadRequest, refusal{Error: err.Error()})
}

// Put sends a control call with a JSON body.
func Put(ctx context.Context, address, path string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return call(ctx, http.MethodPut, address, path, content, nil)
}

// Get sends a control call and decodes its JSON answer.
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
