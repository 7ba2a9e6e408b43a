package kernel

import (
	"time"

	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/wire"
)

// Event is an input of a Step: something that has happened or that the node has
// been told. The set of events is closed.
type Event interface {
	isEvent()
}

// Tick lets plug-ins do periodic work. A driver passes one every TickInterval.
type Tick struct{}

// TickInterval is the time between two Ticks.
const TickInterval = 100 * time.Millisecond

// DocumentRead carries a team's document that was read from the key-value
// service or received from a peer.
type DocumentRead struct {
	Document Revision
}

// Revision is an accepted revision of a team's document.
type Revision struct {
	Team   string
	Number uint64         // 1 for the first revision
	EditID string         // id of the edit that made this revision
	Body   []byte         // the document as spec.Encode encodes it
	Doc    *spec.Document // the document, decoded
}

// ReadDocumentsEnded reports that a read of the key-value service has ended.
type ReadDocumentsEnded struct {
	Failed bool
	Cursor int64 // revision of the key-value service up to which documents are known
}

// HostsListed carries the nodes that this node may contact, from the platform's
// list of hosts or from its store and the configured seeds, and the leaving hosts.
type HostsListed struct {
	Nodes   []*wire.Member // nodes to contact; the list may be stale
	Leaving []string       // IP addresses of hosts that are leaving
}

// FrameReceived carries a message from another node.
type FrameReceived struct {
	From  string // id of the sender
	Frame *wire.Frame
}

// PeerLost reports that the connection to a node broke or could not be made.
type PeerLost struct {
	Peer string // id of the node
}

// RequestArrived carries a caller's request that needs an endpoint.
type RequestArrived struct {
	Request Request
}

// Request holds what the plug-ins need to know of a caller's request. Each attempt
// at a caller's request is a Request with an ID of its own.
type Request struct {
	ID              string
	Service         string
	Workspace       string
	Caller          string // sender of the request, within the workspace
	Class           string
	Model           string
	PromptTokens    int       // prompt length, tokens
	MaxOutputTokens int       // maximum output length, tokens
	PrefixHash      uint64    // hash of the prompt's prefix; 0 for none
	Deadline        time.Time // a grant after this time is useless
	Avoid           []string  // endpoints on which earlier attempts failed
}

// RequestAbandoned reports that the caller gave up while its request waited for a
// decision. The request may have been granted in the meantime.
type RequestAbandoned struct {
	Request string // id of the request
}

// RequestProgressed reports the output of a granted request so far.
type RequestProgressed struct {
	Request string // id of the request
	Tokens  int    // output tokens so far
}

// RequestEnded reports that a granted request no longer runs on its endpoint.
type RequestEnded struct {
	Request string // id of the request
	Tokens  int    // output tokens
	Failed  bool   // the endpoint failed
	Leaving bool   // the endpoint reported that it is leaving
}

// LoadRead carries an engine's report of its load. The report is stale by the
// time that it arrives.
type LoadRead struct {
	Service  string
	Endpoint string
	Load     EngineLoad
}

// EngineLoad is the load that an engine reports.
type EngineLoad struct {
	Running   int  // requests that run
	Waiting   int  // requests in the engine's queue
	KVTokens  int  // KV cache in use, tokens
	Preempted int  // preemptions since the engine started
	Leaving   bool // the engine reports that it is leaving
}

// ItemsLearned carries items that this node has learned from the platform's store. An
// event without items still reports that the store has responded.
type ItemsLearned struct {
	Items    []*wire.Item
	Complete bool // Items holds every item of the store
}

// StoreFailed reports that the platform's store did not serve this node's last read.
type StoreFailed struct{}

// LocalUsageReported carries the local usage: what this node runs on endpoints.
type LocalUsageReported struct {
	Uses    []*wire.Use       // one for each endpoint in use
	Pooled  map[string]uint32 // retries from the pool of the load group in the last window of the limit, by service
	Waiting []*wire.Waiting   // the first requests that wait for room at this node, in their order
	Queued  uint32            // number of the requests that wait for room at this node
}

// LeaveReported reports that an endpoint told this node that it is leaving.
type LeaveReported struct {
	Endpoint    string
	StartMillis int64     // start of the process that is leaving, Unix milliseconds, whatever the store says of it; 0 if a newer record of the endpoint outweighs the report
	GoneAt      time.Time // when the endpoint will be gone; zero if unknown
}

// LimitReported reports the rate limit that an endpoint stated to this node in a response,
// or that it stated none.
type LimitReported struct {
	Endpoint    string
	StartMillis int64     // start of the endpoint's process, Unix milliseconds
	Named       bool      // whether the response stated a limit
	Rate        float64   // requests a second that the endpoint takes from all nodes together
	SentAt      time.Time // when the request was sent to which the endpoint responded
}

// ColdReported reports how much longer an endpoint stays cold, as it stated to this node in a
// response.
type ColdReported struct {
	Endpoint    string
	StartMillis int64         // start of the endpoint's process, Unix milliseconds
	Left        time.Duration // 0 if it is not cold
	SentAt      time.Time     // when the request was sent to which the endpoint responded
}

// StreamBegan reports that a caller gets the first event of a stream that it may take up
// again at any node.
type StreamBegan struct {
	Request string // id of the request that brings the event
	Service string
	Version string // of the software of the endpoint that made the event
}

// OriginAsked asks which software began a stream. An OriginFound effect answers it.
type OriginAsked struct {
	Ask     string // id of the question
	Request string // as in StreamBegan
}

// EndpointCrashed reports that an endpoint has crashed while requests of this node ran there.
type EndpointCrashed struct {
	Endpoint    string
	Service     string
	StartMillis int64      // start of the process that crashed, Unix milliseconds; 0 if unknown
	Requests    [][]uint64 // traits of the requests that had no output yet
	Own         []uint64   // of each of Requests, the trait that it shares only with its retries; 0 or missing if unknown
}

// OutputSeen reports that a request has had output.
type OutputSeen struct {
	Service string
	Traits  []uint64 // of the request
}

// QuarantinesRead carries the quarantines that this node has read from the platform's store.
type QuarantinesRead struct {
	List []*wire.Quarantine
}

// EvidenceRead carries the crashes that this node has read from the platform's store.
type EvidenceRead struct {
	Evidence *wire.Evidence
}

// Stopping reports that this node has been asked to stop.
type Stopping struct{}

func (Tick) isEvent()               {}
func (DocumentRead) isEvent()       {}
func (ReadDocumentsEnded) isEvent() {}
func (HostsListed) isEvent()        {}
func (FrameReceived) isEvent()      {}
func (PeerLost) isEvent()           {}
func (RequestArrived) isEvent()     {}
func (RequestAbandoned) isEvent()   {}
func (RequestProgressed) isEvent()  {}
func (RequestEnded) isEvent()       {}
func (LoadRead) isEvent()           {}
func (ItemsLearned) isEvent()       {}
func (StoreFailed) isEvent()        {}
func (LocalUsageReported) isEvent() {}
func (LeaveReported) isEvent()      {}
func (LimitReported) isEvent()      {}
func (ColdReported) isEvent()       {}
func (StreamBegan) isEvent()        {}
func (OriginAsked) isEvent()        {}
func (EndpointCrashed) isEvent()    {}
func (OutputSeen) isEvent()         {}
func (QuarantinesRead) isEvent()    {}
func (EvidenceRead) isEvent()       {}
func (Stopping) isEvent()           {}
