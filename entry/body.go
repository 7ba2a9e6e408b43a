package entry

import (
	"fmt"
	"io"

	"golang.org/x/sync/semaphore"
)

const (
	minBodyBuffer     = 4 << 10  // bytes
	smallResponse     = 64 << 10 // bytes up to which a response counts as small
	largeShare        = 0.75     // of the memory, for what large responses have beyond smallResponse
	defaultBodyMemory = 64 << 20 // bytes
)

// BodyError reports a response that is too large to be read whole.
type BodyError struct {
	Read  int  // bytes that were read
	Short bool // the node has no memory left for the responses that it reads at once
}

// Error says which bound the response exceeds.
func (e *BodyError) Error() string {
	if e.Short {
		return fmt.Sprintf("no memory left for a response after %d bytes of it", e.Read)
	}
	return fmt.Sprintf("response body exceeds %d bytes", maxPlainBody)
}

// bodyMemory bounds the memory of all responses that a node reads whole at the same time. Large
// responses leave room for small ones. Load pattern: many responses of a server never end, and each is
// allowed as many bytes as the longest that is sound; or callers ask for long responses and do not
// read them.
type bodyMemory struct {
	free  *semaphore.Weighted // all bytes
	large *semaphore.Weighted // bytes beyond smallResponse of each response
}

func newBodyMemory(size int64) *bodyMemory {
	if size == 0 {
		size = defaultBodyMemory
	}
	return &bodyMemory{free: semaphore.NewWeighted(size), large: semaphore.NewWeighted(max(int64(largeShare*float64(size)), min(size, maxPlainBody+1)))}
}

// beyondSmall returns what a buffer of n bytes has beyond smallResponse.
func beyondSmall(n int) int64 { return max(int64(n)-smallResponse, 0) }

// grow takes the memory for a buffer that grows from one size to another, and reports whether there
// was enough.
func (m *bodyMemory) grow(from, to int) bool {
	large := beyondSmall(to) - beyondSmall(from)
	if !m.large.TryAcquire(large) {
		return false
	}
	if !m.free.TryAcquire(int64(to - from)) {
		m.large.Release(large)
		return false
	}
	return true
}

// read reads the whole body of a response, which may have maxPlainBody bytes. The caller
// releases the memory of the body that it returns. The error is a *BodyError if the body is
// too large.
func (m *bodyMemory) read(r io.Reader) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(2*cap(body), minBodyBuffer), maxPlainBody+1)
			if size == cap(body) || !m.grow(cap(body), size) {
				m.release(body)
				return nil, &BodyError{Read: len(body), Short: size > cap(body)}
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			m.release(body)
			return nil, err
		}
	}
}

// release gives back the memory of a body that read has returned.
func (m *bodyMemory) release(body []byte) {
	m.large.Release(beyondSmall(cap(body)))
	m.free.Release(int64(cap(body)))
}
