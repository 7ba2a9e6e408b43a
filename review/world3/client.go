package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// ResponseWriter and Request shorten the signatures of handlers.
type (
	ResponseWriter = http.ResponseWriter
	Request        = http.Request
)

var nextRequest atomic.Int64

// newID returns the id of a consumer attempt.
func newID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, nextRequest.Add(1))
}

// outcome is how a consumer attempt ended.
type outcome struct {
	id     string
	status int // 0 if there was no answer
	whole  bool
	after  time.Duration
	detail string
}

// generationHeader returns the header of a generation with the given parts of its prompt.
func generationHeader(parts string, limit time.Duration) http.Header {
	return http.Header{"X-Model": {"m"}, "X-Token-Usage": {"400,40"}, "X-Prompt-Prefix": {parts}, "X-Deadline-Ms": {fmt.Sprint(limit.Milliseconds())}}
}

// send sends one consumer attempt over a new channel.
func (w *world) send(n *node, method, path string, h http.Header, body []byte, limit time.Duration) outcome {
	o := outcome{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", n.ip, portFront, path), bytes.NewReader(body))
	if err != nil {
		w.fatal("create request: %v", err)
	}
	req.Host, req.Close = host, true
	for name, values := range h {
		req.Header[name] = values
	}
	req.Header.Set("X-Request-Id", o.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	began := time.Now()
	w.record("%s is sent to %s, %s %s parts %q", o.id, n.name, method, path, h.Get("X-Prompt-Prefix"))
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err == nil {
		o.status = resp.StatusCode
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		o.whole = err == nil
		o.detail = strings.TrimSpace(string(data[:min(len(data), 120)]))
	}
	if err != nil {
		o.detail = err.Error()
	}
	o.after = time.Since(began)
	w.record("%s ends with status %d, whole %t, after %s: %.160q", o.id, o.status, o.whole, o.after.Round(time.Millisecond), o.detail)
	return o
}
