package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is one attempt of a consumer.
type call struct {
	node     *node
	method   string
	path     string
	id       string
	deadline time.Duration
	key      string
	header   map[string]string
	body     string
	// onEvent is called with each event of a stream; the attempt ends if it returns false.
	onEvent func(id int, data string) bool
}

// result is how an attempt ended.
type result struct {
	sentAt     time.Time
	status     int // 0: no answer
	stamp      string
	retryAfter time.Duration
	events     int
	complete   bool
	body       string
	err        error
}

// errLeft says that the consumer left.
var errLeft = errors.New("the consumer closed its channel")

// do makes an attempt on a new channel.
func (c call) do(ctx context.Context) result {
	res := result{sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", c.node.front())
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.path, host, c.id, c.deadline.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", c.key)
	}
	for name, value := range c.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if c.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")
	b.WriteString(c.body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		res.err = err
		return res
	}
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, &http.Request{Method: c.method})
	if err != nil {
		res.err = err
		return res
	}
	res.status, res.stamp = resp.StatusCode, resp.Header.Get("X-Response-Stamp")
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		res.retryAfter = time.Duration(s * float64(time.Second))
	}
	if c.onEvent == nil || res.status != http.StatusOK {
		body, err := io.ReadAll(resp.Body)
		res.body, res.err, res.complete = string(body), err, err == nil
		return res
	}
	lines := bufio.NewReader(resp.Body)
	id, data := 0, ""
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			res.complete = err == io.EOF && line == "" && id == 0
			if !res.complete {
				res.err = err
			}
			return res
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id:"):
			id, _ = strconv.Atoi(strings.TrimSpace(line[3:]))
		case strings.HasPrefix(line, "data:"):
			data = strings.TrimSpace(line[5:])
		case line == "" && id != 0:
			res.events++
			if !c.onEvent(id, data) {
				res.err = errLeft
				return res
			}
			id, data = 0, ""
		}
	}
}
