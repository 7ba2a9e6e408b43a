package entry

import (
	"mime"
	"strconv"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/relay"
)

// checkMediaType returns an error if a response cannot go on with the stream that the caller
// has begun to receive, as it is of another media type. Load pattern: engines crash, and those
// at which their streams go on answer with an error under a status of success.
func (g *generation) checkMediaType(resp *relay.Response) error {
	if !g.headerSent {
		return nil
	}
	began, next := mediaType(g.header.Get("Content-Type")), mediaType(resp.Header.Get("Content-Type"))
	if began != next {
		return errors.Errorf("the response is of type %q and the stream of type %q", next, began)
	}
	return nil
}

// mediaType returns the media type of a Content-Type without its parameters, or the whole text
// if it cannot be parsed.
func mediaType(text string) string {
	t, _, err := mime.ParseMediaType(text)
	if err != nil {
		return text
	}
	return t
}

// checkFollows returns an error if an event, the first of a continuation, does not come after
// the last one that the caller has. Ids that are not numbers cannot be compared.
func checkFollows(id, last string) error {
	if id == "" {
		return errors.New("the continuation begins with an event without an id")
	}
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return nil
	}
	if m, err := strconv.ParseInt(last, 10, 64); err == nil && n <= m {
		return errors.Errorf("the continuation begins with event %d, the caller has %d", n, m)
	}
	return nil
}

// rejectContinuation records a response that cannot go on with the stream, so that another
// attempt is needed.
func (g *generation) rejectContinuation(cause error) bool {
	g.lastErr = &relay.LostError{Addr: g.endpoint.Addr, Err: cause}
	g.server.recordFailure(g.ctx, g.endpoint, g.lastErr)
	g.server.record("attempt-failed", g.routed.req, g.endpoint.ID, g.lastErr.Error())
	return g.endIfCallerGone()
}
