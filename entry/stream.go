package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/place"
	"github.com/plantaindeck/plantaindeck/relay"
)

const (
	engineConnect = 300 * time.Millisecond // an engine that is cut off is left after this time
	maxContinue   = 12                     // continuations of one stream
	longPause     = 150 * time.Millisecond // between two events, that is worth a log line
	backupOutput  = 200                    // output tokens from which a resumable generation is worth a backup
)

// run is a generation on its way to the caller.
type run struct {
	server   *Server
	life     *life
	out      Answer
	ctx      context.Context
	endpoint fleet.Endpoint
	backup   fleet.Endpoint // keeps a copy of the run; no ID for none
	from     *Copy          // memory that the next attempt goes on from
	resume   *destination   // where the run has been moved to
	last     string         // id of the last event that the caller has
	lastAt   time.Time      // its arrival
	events   int            // that the caller has
	tokens   int            // memory that the run is expected to need
	started  bool           // the caller has a header
	header   http.Header    // of the first endpoint's answer
	attempts int
	refusals int
	cause    error

	// Guarded by the server's mutex.
	open    *exchange // nil while no endpoint is at work
	pending bool      // the run's prompt is counted as not read yet
}

// Serves a generation.
func (s *Server) stream(ctx context.Context, l *life, out Answer) *apierr.Error {
	r := &run{server: s, life: l, out: out, ctx: ctx, last: l.req.Last, tokens: l.req.Prompt + l.output()}
	s.mu.Lock()
	s.runs[r] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.runs, r)
		s.mu.Unlock()
	}()
	for range maxContinue {
		if ctx.Err() != nil || !r.next() {
			break
		}
		if r.try() {
			return nil
		}
	}
	if r.started {
		s.counters.broken.Inc()
		s.record("broken", l.req, r.endpoint.ID, errorText(r.cause))
		out.Abort()
		return nil
	}
	return s.giveUp(ctx, l, r.cause)
}

func errorText(err error) string {
	if err == nil {
		return "no endpoint can go on with the stream"
	}
	return err.Error()
}

// Finds the endpoint of the next attempt. It reports false when the run cannot
// go on.
func (r *run) next() bool {
	s, l := r.server, r.life
	if r.attempts+r.refusals > 0 && !s.mayRepeat(l) {
		r.cause = errors.New("the budget of repeated requests is spent")
		return false
	}
	if to := r.resume; to != nil {
		r.from, r.endpoint = &to.copy, to.endpoint
		r.resume, r.backup = nil, fleet.Endpoint{}
		return true
	}
	if r.attempts > 0 && r.backup.ID != "" {
		r.from, r.endpoint = &Copy{Addr: r.backup.Addr, Name: l.req.ID}, r.backup
		r.backup = fleet.Endpoint{}
		return true
	}
	r.from = nil
	if l.sent && (!l.route.Repeatable() || r.attempts >= l.route.Attempts) {
		return false
	}
	var ok bool
	r.endpoint, ok = r.admit()
	return ok
}

// Makes one attempt. It reports true when the caller has its final answer or
// has gone.
func (r *run) try() bool {
	s, l := r.server, r.life
	l.tried = append(l.tried, r.endpoint.ID)
	r.take()
	defer r.give(r.endpoint.ID)
	r.chooseBackup()
	if r.backup.ID != "" {
		id := r.backup.ID
		s.take(id, use{tokens: r.tokens})
		defer s.take(id, use{tokens: -r.tokens})
	}
	a := s.attempt(l, r.endpoint)
	a.Last = r.last
	a.From = r.from
	a.Backup = r.backup.Addr
	ex, err := s.send(r.ctx, a, engineConnect)
	if err != nil {
		return r.failed(err)
	}
	defer ex.Close()
	r.attempts++
	l.sent = true
	if r.header == nil {
		r.header = s.cfg.Dialect.Answer(ex.Header)
	}
	if ex.Status != http.StatusOK {
		return r.pass(ex)
	}
	return r.relay(ex)
}

// Counts the run at its engine. The prompt waits to be read until the first
// event, unless the run goes on from a copy.
func (r *run) take() {
	s := r.server
	s.mu.Lock()
	defer s.mu.Unlock()
	u := use{requests: 1, tokens: r.tokens}
	if r.pending = r.from == nil; r.pending {
		u.prompt = r.life.req.Prompt
	}
	s.ledger.add(time.Now(), r.endpoint.ID, u)
}

func (r *run) give(id string) {
	s := r.server
	s.mu.Lock()
	defer s.mu.Unlock()
	u := use{requests: -1, tokens: -r.tokens}
	if r.pending {
		u.prompt = -r.life.req.Prompt
		r.pending = false
	}
	s.ledger.add(time.Now(), id, u)
}

// Takes in that an attempt ended without an answer. It reports true when the
// caller has gone.
func (r *run) failed(err error) bool {
	r.cause = err
	r.server.failed(r.ctx, r.endpoint, err)
	var refused *relay.RefusedError
	var notSent *relay.NotSentError
	if errors.As(err, &refused) || errors.As(err, &notSent) {
		if refused != nil {
			r.refusals++
		}
		r.backup = fleet.Endpoint{} // which was given nothing to keep
	} else {
		r.attempts++
		r.life.sent = true
	}
	r.server.record("attempt-failed", r.life.req, r.endpoint.ID, err.Error())
	return errors.Is(r.ctx.Err(), context.Canceled)
}

// Chooses the engine that keeps a copy of the run, if one has so much memory
// free that copies may use it.
func (r *run) chooseBackup() {
	r.backup = fleet.Endpoint{}
	svc, share := r.life.service, r.server.cfg.Backup
	if share == 0 || svc.Engine == nil || !svc.Engine.Backups || r.life.route.Resumable && r.life.output() < backupOutput {
		return
	}
	need := place.Need{Tokens: r.tokens}
	if e, _, ok := r.server.chooseFitting(svc, r.endpoint.Centre, need, share, []string{r.endpoint.ID}); ok {
		r.backup = e
	}
}

// Passes an answer on that is not a stream.
func (r *run) pass(ex *relay.Reply) bool {
	s := r.server
	body, err := io.ReadAll(io.LimitReader(ex, maxPlain))
	if err != nil {
		r.cause = &relay.LostError{Addr: r.endpoint.Addr, Err: err}
		s.failed(r.ctx, r.endpoint, r.cause)
		return false
	}
	s.outcome(r.endpoint.ID, ex.Status < http.StatusInternalServerError)
	if r.started || ex.Status >= http.StatusInternalServerError && r.life.route.Repeatable() && r.attempts < r.life.route.Attempts {
		r.cause = errors.Errorf("endpoint %s answered with status %d", r.endpoint.ID, ex.Status)
		r.header = nil
		r.backup = fleet.Endpoint{}
		return false
	}
	deliver(r.out, &reply{status: ex.Status, header: s.cfg.Dialect.Answer(ex.Header), body: body})
	return true
}

// Relays events until the stream ends or breaks.
func (r *run) relay(ex *relay.Reply) bool {
	s := r.server
	x := r.opened(ex)
	defer r.closed(x)
	events := relay.NewEventReader(ex)
	for {
		e, err := events.Next()
		if err == nil {
			r.arrived(x)
		}
		if err == nil || errors.Is(err, io.EOF) && !r.started {
			if writeErr := r.write(e); writeErr != nil {
				r.out.Abort()
				return true
			}
		}
		if errors.Is(err, io.EOF) {
			s.outcome(r.endpoint.ID, true)
			return true
		}
		if err != nil {
			r.broke(x, err)
			return errors.Is(r.ctx.Err(), context.Canceled)
		}
	}
}

// Gives an event to the caller.
func (r *run) write(e relay.Event) error {
	if !r.started {
		r.started = true
		r.out.Start(http.StatusOK, r.header, -1)
	}
	if e.ID != "" {
		r.last = e.ID
		r.events++
		now := time.Now()
		if pause := now.Sub(r.lastAt); r.events > 1 && pause > longPause {
			r.server.record("pause", r.life.req, r.endpoint.ID, fmt.Sprintf("%s before event %d, which is event %d of this engine", pause.Round(time.Millisecond), r.events, r.open.events))
		}
		r.lastAt = now
	}
	return r.out.Write(e.Raw)
}

func (r *run) broke(x *exchange, err error) {
	s := r.server
	s.mu.Lock()
	moved := x.moved
	s.mu.Unlock()
	r.cause = &relay.LostError{Addr: r.endpoint.Addr, Err: err}
	if moved != nil {
		select {
		case <-moved.done:
		case <-r.ctx.Done():
			return
		}
		if moved.err == nil {
			r.resume = moved
		}
		return
	}
	s.failed(r.ctx, r.endpoint, r.cause)
	s.record("stream-broke", r.life.req, r.endpoint.ID, err.Error())
}
