package assign

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/policy"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"
)

const (
	roundPeriod = time.Second
	loadTime    = 2 * time.Minute // longest wait for the answer to a load
)

// Config describes a runner.
type Config struct {
	Store store.Store
	State func() kernel.State
	Now   func() time.Time
}

// Runner commands the engines of the services that its node holds. It is used
// by one goroutine.
type Runner struct {
	cfg   Config
	http  *fasthttp.Client
	holds map[string]*Hold
}

// New returns a runner that holds nothing.
func New(cfg Config) *Runner {
	return &Runner{
		cfg:   cfg,
		http:  &fasthttp.Client{RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }},
		holds: map[string]*Hold{},
	}
}

// Run works until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	t := time.NewTicker(roundPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			r.Round(ctx)
		}
	}
}

// Round looks once at every service that this node should hold.
func (r *Runner) Round(ctx context.Context) {
	s := r.cfg.State()
	self := s.Config.Self.GetId()
	for _, rev := range policy.Of(s).Revisions() {
		for i := range rev.Doc.Services {
			svc := &rev.Doc.Services[i]
			first, _ := owner.Pick("deploy/"+svc.Name, member.Of(s).Owners())
			if svc.Kind != spec.KindModel || first != self {
				continue
			}
			if err := r.service(ctx, self, svc); err != nil {
				klog.V(1).InfoS("Engines are not commanded", "service", svc.Name, "err", err)
			}
		}
	}
}

// Sends at most one command to the engines of a service.
func (r *Runner) service(ctx context.Context, self string, svc *spec.Service) error {
	h, ok := r.holds[svc.Name]
	if !ok {
		h = NewHold(r.cfg.Store, svc.Name, self)
		r.holds[svc.Name] = h
	}
	if err := h.Keep(ctx, r.cfg.Now()); err != nil {
		return err
	}
	wanted := Wanted(svc)
	for _, e := range svc.Endpoints {
		if !h.Valid(r.cfg.Now(), e.Fencing) {
			continue
		}
		loaded, err := r.read(e)
		if err != nil {
			continue // the engine is gone or slow; others go first
		}
		if c, ok := Next(wanted, loaded); ok {
			return r.send(h, e, c)
		}
	}
	return nil
}

// state is the part of an engine's answer that the runner reads.
type state struct {
	Models []Loaded `json:"models"`
}

func (r *Runner) read(e spec.Endpoint) ([]Loaded, error) {
	status, body, err := r.http.GetTimeout(nil, "http://"+e.Addr+"/v1/models", roundPeriod)
	if err != nil || status != fasthttp.StatusOK {
		return nil, errors.Errorf("read models of %s: status %d, %v", e.Name, status, err)
	}
	var s state
	return s.Models, errors.Wrapf(json.Unmarshal(body, &s), "decode models of %s", e.Name)
}

// CommandError says that an engine did not carry out a command.
type CommandError struct {
	Endpoint string
	Command  Command
	Status   int
	Message  string
}

// Error names the engine and the command.
func (e *CommandError) Error() string {
	return "engine " + e.Endpoint + " refused to " + e.Command.Kind + " " + e.Command.Model + ": " + e.Message
}

// Sends a command, if the hold is still valid. The effect is read back in the
// next round, so a lost answer does no harm.
func (r *Runner) send(h *Hold, e spec.Endpoint, c Command) error {
	c.Token = h.Token()
	body, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode command")
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + e.Addr + "/v1/commands")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	// The process may have been paused since the hold was checked.
	if !h.Valid(r.cfg.Now(), e.Fencing) {
		return nil
	}
	klog.InfoS("Command to engine", "engine", e.Name, "kind", c.Kind, "model", c.Model, "version", c.Version, "token", c.Token)
	if err := r.http.DoTimeout(req, resp, loadTime); err != nil {
		return errors.Wrapf(err, "command %s", e.Name)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return &CommandError{Endpoint: e.Name, Command: c, Status: resp.StatusCode(), Message: string(resp.Body())}
	}
	return nil
}
