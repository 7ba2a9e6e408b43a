package front

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/policy"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/plantaindeck/plantaindeck/wait"
	"github.com/valyala/fasthttp"
)

const (
	headerReattach    = "X-Reattach"
	headerLastEventID = "Last-Event-ID"

	reattachWindow       = 8 * time.Second // a caller that disconnected may reattach within it
	reattachPollInterval = 2 * time.Second // between checks whether a generation still has a reader
	reattachTokenTTL     = time.Hour
)

// reattachPayload is the signed content of a reattach token. The caller keeps the
// token, so that any node can resume the stream without keeping state for it.
type reattachPayload struct {
	Team       string `json:"t"`
	Workspace  string `json:"w"`
	Service    string `json:"s"`
	Endpoint   string `json:"e"`
	Generation string `json:"g"`
	Request    string `json:"r"` // id of the attempt
	Expires    int64  `json:"x"` // Unix seconds
}

// sign returns the reattach token for a payload: its JSON form and a signature,
// each in base64, with a dot between them.
func (f *Front) sign(p reattachPayload) (string, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return "", errors.Wrap(err, "encode reattach token")
	}
	enc := base64.RawURLEncoding
	return enc.EncodeToString(data) + "." + enc.EncodeToString(f.mac(data)), nil
}

// mac returns the signature of data.
func (f *Front) mac(data []byte) []byte {
	h := hmac.New(sha256.New, f.cfg.Secret)
	h.Write(data)
	return h.Sum(nil)
}

// verify returns the payload of a reattach token. It reports false if the token
// was not signed with the key of this deployment or has expired.
func (f *Front) verify(now time.Time, token string) (reattachPayload, bool) {
	payload, signature, ok := strings.Cut(token, ".")
	data, err := base64.RawURLEncoding.DecodeString(payload)
	if !ok || err != nil {
		return reattachPayload{}, false
	}
	sum, err := base64.RawURLEncoding.DecodeString(signature)
	if err != nil || !hmac.Equal(sum, f.mac(data)) {
		return reattachPayload{}, false
	}
	var p reattachPayload
	if err := json.Unmarshal(data, &p); err != nil {
		return reattachPayload{}, false
	}
	return p, now.Unix() < p.Expires
}

// newReattachPayload returns the payload that names the generation of an attempt.
func (f *Front) newReattachPayload(c *chatRequest, a attempt, now time.Time) reattachPayload {
	return reattachPayload{
		Team:       c.identity.Team,
		Workspace:  c.identity.Workspace,
		Service:    c.service.Name,
		Endpoint:   a.grant.Endpoint,
		Generation: a.stream.Generation(),
		Request:    a.id,
		Expires:    now.Add(reattachTokenTTL).Unix(),
	}
}

// serveReattach serves GET /v1/streams/TOKEN. It resumes a stream after the event
// that the header Last-Event-ID names, or from its start without that header.
func (f *Front) serveReattach(ctx *fasthttp.RequestCtx, token string) *apierr.Error {
	if err := checkMethod(ctx, fasthttp.MethodGet); err != nil {
		return err
	}
	identity, apiErr := f.identify(ctx)
	if apiErr != nil {
		return apiErr
	}
	p, ok := f.verify(time.Now(), token)
	if !ok || p.Team != identity.Team || p.Workspace != identity.Workspace {
		return apierr.NotRun(fasthttp.StatusForbidden, apierr.CodeForbidden, "the reattach token is not valid for workspace %q", identity.Workspace)
	}
	last, apiErr := lastEventIndex(ctx, p)
	if apiErr != nil {
		return apiErr
	}
	return f.reattach(ctx, p, last)
}

// lastEventIndex returns the index of the last token that the caller has
// received, or -1 if it has none.
func lastEventIndex(ctx *fasthttp.RequestCtx, p reattachPayload) (int, *apierr.Error) {
	id := string(ctx.Request.Header.Peek(headerLastEventID))
	if id == "" {
		return -1, nil
	}
	gen, index, err := relay.SplitID(id)
	if err != nil || gen != p.Generation {
		return 0, apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadRequest, "event %q does not belong to this stream", id)
	}
	return index, nil
}

// reattach streams the tokens of a generation after index last to the caller.
func (f *Front) reattach(ctx *fasthttp.RequestCtx, p reattachPayload, last int) *apierr.Error {
	svc, addr, ok := f.findEndpoint(p.Service, p.Endpoint)
	if !ok {
		return apierr.Unknown(fasthttp.StatusBadGateway, apierr.CodeLost, "endpoint %q is no longer in the document", p.Endpoint).WithOutcome(apierr.OutcomeRan)
	}
	loc := relay.Location{Addr: addr, RequestID: p.Request, Generation: p.Generation}
	stream, err := f.cfg.Relay.Resume(loc, last)
	if err != nil {
		return apierr.Unknown(fasthttp.StatusBadGateway, apierr.CodeLost, "generation %s cannot be resumed: %v", p.Generation, err).WithOutcome(apierr.OutcomeRan)
	}
	f.cfg.Daemon.Record(trace.Entry{Kind: "reattach", Request: p.Request, Workspace: p.Workspace, Endpoint: p.Endpoint, Detail: "after token " + itoa(last)})
	a := attempt{id: p.Request, grant: kernel.Grant{Endpoint: p.Endpoint, Addr: addr}, stream: stream, sound: true}
	c := &chatRequest{id: p.Request, identity: policy.Identity{Team: p.Team, Workspace: p.Workspace}, service: svc}
	f.setStreamBody(ctx, &streamBody{front: f, chat: c, attempt: a, meter: f.newMeter(p.Request), reattached: true})
	return nil
}

// findEndpoint returns a service and the address of its endpoint called name,
// according to the document in force.
func (f *Front) findEndpoint(service, name string) (svc *spec.Service, addr string, ok bool) {
	svc, _, ok = f.policy().Service(service)
	if !ok {
		return nil, "", false
	}
	for _, e := range svc.Endpoints {
		if e.Name == name {
			return svc, e.Addr, true
		}
	}
	return nil, "", false
}

// awaitReattach waits, in the background, for a caller that disconnected to
// reattach through this node or another one. It keeps the grant and reports the
// progress of the generation until the generation has ended. A generation without a
// reader after reattachWindow, or at a later check, is cancelled.
func (f *Front) awaitReattach(a attempt, tokens int) {
	loc := relay.Location{Addr: a.grant.Addr, RequestID: a.id, Generation: a.stream.Generation()}
	f.background(func(context.Context) error {
		defer func() { f.cfg.Daemon.ReportEnded(kernel.RequestEnded{Request: a.id, Tokens: tokens}) }()
		for pause := reattachWindow; ; pause = reattachPollInterval {
			if !wait.For(f.ctx, pause) {
				// This node is stopping; the caller may still reattach through another one.
				return nil
			}
			st, err := f.cfg.Relay.State(loc)
			if err != nil {
				return errors.Wrapf(err, "read state of attempt %s", a.id)
			}
			if st.Over() {
				return nil
			}
			tokens = st.Tokens
			f.cfg.Daemon.ReportProgress(a.id, tokens)
			if st.Readers == 0 {
				_, err := f.cfg.Relay.Cancel(loc)
				return errors.Wrapf(err, "cancel attempt %s", a.id)
			}
		}
	})
}
