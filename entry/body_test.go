package entry

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// endlessReader is a body without an end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// TestBodyMemory checks that responses are read whole within a bounded memory.
func TestBodyMemory(t *testing.T) {
	const size = 2 * maxPlainBody
	assertAllFree := func(t *testing.T, m *bodyMemory) {
		t.Helper()
		qt.Assert(t, m.free.TryAcquire(size), qt.IsTrue)
		m.free.Release(size)
	}
	t.Run("whole bodies", func(t *testing.T) {
		m := newBodyMemory(size)
		for _, n := range []int{0, 1, minBodyBuffer - 1, minBodyBuffer, minBodyBuffer + 1, 100_000, maxPlainBody} {
			want := bytes.Repeat([]byte("x"), n)
			body, err := m.read(bytes.NewReader(want))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, bytes.Equal(body, want), qt.IsTrue)
			m.release(body)
		}
		assertAllFree(t, m)
	})
	t.Run("longer than allowed", func(t *testing.T) {
		m := newBodyMemory(size)
		_, err := m.read(io.LimitReader(endlessReader{}, maxPlainBody+1))
		var tooLarge *BodyError
		qt.Assert(t, errors.As(err, &tooLarge), qt.IsTrue)
		qt.Assert(t, tooLarge.Short, qt.IsFalse)
		assertAllFree(t, m)
	})
	t.Run("broken", func(t *testing.T) {
		m := newBodyMemory(size)
		_, err := m.read(io.MultiReader(strings.NewReader("part"), brokenReader{}))
		qt.Assert(t, err, qt.Equals, io.ErrUnexpectedEOF)
		assertAllFree(t, m)
	})
	t.Run("many without an end", func(t *testing.T) {
		m := newBodyMemory(size)
		var readers sync.WaitGroup
		for range 100 {
			readers.Go(func() {
				_, err := m.read(endlessReader{})
				var tooLarge *BodyError
				if !errors.As(err, &tooLarge) {
					t.Errorf("error %v", err)
				}
			})
		}
		readers.Wait()
		assertAllFree(t, m)
	})
	t.Run("large ones leave room for small ones", func(t *testing.T) {
		m := newBodyMemory(size)
		for {
			if _, err := m.read(io.LimitReader(endlessReader{}, 1<<20)); err != nil {
				break
			}
		}
		for range 100 {
			_, err := m.read(strings.NewReader("small"))
			qt.Assert(t, err, qt.IsNil)
		}
	})
	t.Run("short while the memory is taken", func(t *testing.T) {
		m := newBodyMemory(size)
		qt.Assert(t, m.free.TryAcquire(size-minBodyBuffer), qt.IsTrue)
		body, err := m.read(strings.NewReader("small"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(body), qt.Equals, "small")
		m.release(body)
		_, err = m.read(io.LimitReader(endlessReader{}, 2*minBodyBuffer))
		var tooLarge *BodyError
		qt.Assert(t, errors.As(err, &tooLarge) && tooLarge.Short, qt.IsTrue, qt.Commentf("%v", err))
	})
}

// brokenReader is a body that breaks.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
