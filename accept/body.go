package accept

import (
	"io"
	"net/http"
	"time"

	"github.com/plantaindeck/plantaindeck/apierr"
)

const (
	bodyReadTimeout = 20 * time.Second // for the whole body of a request
	minBodyBuffer   = 4 << 10          // bytes, for a body of unknown length
	smallBody       = 16 << 10         // bytes up to which a body arrives through the usual receive buffer
)

// TooLargeError returns the error of a request whose body has more than limit bytes.
func TooLargeError(limit int) *apierr.Error {
	return apierr.NotRun(http.StatusRequestEntityTooLarge, apierr.CodeTooLarge, "request body is larger than %d bytes", limit)
}

// ReadBody reads the body of a request of the connection, of at most limit bytes, within bodyReadTimeout. Its memory
// is a part of what the connection costs until the request has been answered. c may be nil.
func (c *Conn) ReadBody(ctl *http.ResponseController, r *http.Request, limit int) ([]byte, *apierr.Error) {
	if err := ctl.SetReadDeadline(time.Now().Add(bodyReadTimeout)); err != nil {
		return nil, apierr.NotRun(http.StatusInternalServerError, apierr.CodeInternal, "set the read deadline of the connection: %v", err)
	}
	c.receiveBody(time.Now(), true)
	body, err := c.readBody(r, limit)
	if err != nil {
		return nil, err
	}
	c.receiveBody(time.Now(), false)
	if err := ctl.SetReadDeadline(time.Time{}); err != nil {
		return nil, apierr.NotRun(http.StatusInternalServerError, apierr.CodeInternal, "clear the read deadline of the connection: %v", err)
	}
	return body, nil
}

// readBody is ReadBody without the deadline.
func (c *Conn) readBody(r *http.Request, limit int) ([]byte, *apierr.Error) {
	size := min(minBodyBuffer, limit+1)
	if r.ContentLength >= 0 {
		size = int(r.ContentLength)
	}
	var body []byte
	for {
		if !c.growBody(time.Now(), int64(size)) {
			return nil, noRoomError("the node has no memory left for the body of the request")
		}
		if size > smallBody {
			c.receiveLargeBody(time.Now())
		}
		old := cap(body)
		body = append(make([]byte, 0, size), body...)
		c.growBody(time.Now(), -int64(old))
		var err error
		for err == nil && len(body) < size {
			var n int
			n, err = r.Body.Read(body[len(body):size])
			body = body[:len(body)+n]
		}
		switch {
		case c.HasYielded():
			return nil, noRoomError("the request had not arrived completely when others needed its memory")
		case err == io.EOF: // a body that breaks off ends with io.ErrUnexpectedEOF
			return body, nil
		case err != nil:
			return nil, apierr.NotRun(http.StatusBadRequest, apierr.CodeBadRequest, "read request body: %v", err)
		case r.ContentLength >= 0:
			return body, nil
		case len(body) > limit:
			return nil, TooLargeError(limit)
		}
		size = min(2*size, limit+1)
	}
}
