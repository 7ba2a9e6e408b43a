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
	"github.com/plantaindeck/plantaindeck/socket"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"
)

const (
	reconcileInterval = time.Second     // also the timeout of reading an engine's models
	maxResponseBytes  = 1 << 20         // of one engine's response; one is read at a time
	commandTimeout    = 2 * time.Minute // an engine responds to a load command once the model is loaded
)

// Config describes a Reconciler.
type Config struct {
	Store store.Store         // key-value service that holds the locks
	State func() kernel.State // returns the node's present state
	Now   func() time.Time    // returns the present time by the monotonic clock
}

// Reconciler commands the engines of the services whose locks its node holds. A
// Reconciler is used by one goroutine.
type Reconciler struct {
	cfg   Config
	http  *fasthttp.Client
	locks map[string]*Lock // by service
}

// New returns a reconciler that holds no lock.
func New(cfg Config) *Reconciler {
	return &Reconciler{
		cfg:   cfg,
		http:  &fasthttp.Client{Dial: socket.DialChecked, MaxResponseBodySize: maxResponseBytes, ReadTimeout: commandTimeout, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }},
		locks: map[string]*Lock{},
	}
}

// Run reconciles periodically until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			r.Reconcile(ctx)
		}
	}
}

// Reconcile sends at most one command for each model service that is assigned to
// this node.
func (r *Reconciler) Reconcile(ctx context.Context) {
	s := r.cfg.State()
	self := s.Config.Self.GetId()
	for _, rev := range policy.Of(s).Revisions() {
		for i := range rev.Doc.Services {
			svc := &rev.Doc.Services[i]
			assigned, _ := owner.Pick("deploy/"+svc.Name, member.Of(s).Owners())
			if svc.Kind != spec.KindModel || assigned != self {
				continue
			}
			if err := r.reconcileService(ctx, self, svc); err != nil {
				klog.V(1).InfoS("Failed to command the engines of a service; retrying in the next round", "service", svc.Name, "err", err)
			}
		}
	}
}

// reconcileService sends at most one command to the engines of a service.
func (r *Reconciler) reconcileService(ctx context.Context, self string, svc *spec.Service) error {
	lock, ok := r.locks[svc.Name]
	if !ok {
		lock = NewLock(r.cfg.Store, svc.Name, self)
		r.locks[svc.Name] = lock
	}
	if err := lock.AcquireOrRenew(ctx, r.cfg.Now()); err != nil {
		return err
	}
	wanted := WantedModels(svc)
	for _, e := range svc.Endpoints {
		if !lock.Valid(r.cfg.Now(), e.Fencing) {
			continue
		}
		loaded, err := r.loadedModels(e)
		if err != nil {
			continue // the engine is gone or slow; the next round tries again
		}
		if c, ok := NextCommand(wanted, loaded); ok {
			return r.sendCommand(lock, e, c)
		}
	}
	return nil
}

// modelList is the part of an engine's response to GET /v1/models that is read.
type modelList struct {
	Models []ModelVersion `json:"models"`
}

// loadedModels returns the models and adapters that an engine has loaded.
func (r *Reconciler) loadedModels(e spec.Endpoint) ([]ModelVersion, error) {
	status, body, err := r.http.GetTimeout(nil, "http://"+e.Addr+"/v1/models", reconcileInterval)
	if err != nil || status != fasthttp.StatusOK {
		return nil, errors.Errorf("read models of %s: status %d, %v", e.Name, status, err)
	}
	var list modelList
	return list.Models, errors.Wrapf(json.Unmarshal(body, &list), "decode models of %s", e.Name)
}

// CommandError says that an engine responded to a command with an error status.
type CommandError struct {
	Endpoint string
	Command  Command
	Status   int
	Message  string
}

// Error names the engine and the command, and gives the engine's message.
func (e *CommandError) Error() string {
	return "engine " + e.Endpoint + " refused to " + e.Command.Kind + " " + e.Command.Model + ": " + e.Message
}

// sendCommand sends a command if the lock is still valid. The next round reads
// what the engine has loaded, so a lost response does no harm.
func (r *Reconciler) sendCommand(lock *Lock, e spec.Endpoint, c Command) error {
	c.Token = lock.Token()
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
	// The process may have been paused since the lock was last checked.
	if !lock.Valid(r.cfg.Now(), e.Fencing) {
		return nil
	}
	klog.InfoS("Sending a command to an engine", "engine", e.Name, "kind", c.Kind, "model", c.Model, "version", c.Version, "token", c.Token)
	if err := r.http.DoTimeout(req, resp, commandTimeout); err != nil {
		return errors.Wrapf(err, "command %s", e.Name)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return &CommandError{Endpoint: e.Name, Command: c, Status: resp.StatusCode(), Message: string(resp.Body())}
	}
	return nil
}
