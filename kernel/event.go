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

// Tick lets plug-ins do periodic work. A driver passes one every TickPeriod.
type Tick struct{}

// TickPeriod is the time between two Ticks.
const TickPeriod = 100 * time.Millisecond

// DocumentRead carries a team's document that was read from the key-value
// service or received from a peer.
type DocumentRead struct {
	Document Revision
}

// Revision is an accepted revision of a team's document.
type Revision struct {
	Team   string
	Number uint64         // 1 for the first revision
	Edit   string         // id of the edit that made this revision
	Body   []byte         // the document as spec.Encode encodes it
	Doc    *spec.Document // the document, decoded
}

// StoreRead reports that a read of the key-value service has ended.
type StoreRead struct {
	Failed bool
	Cursor int64 // store revision up to which documents are known
}

// HostsListed carries the platform's list of live hosts.
type HostsListed struct {
	Nodes   []*wire.Member // nodes on the entry hosts
	Leaving []string       // IP addresses of hosts that are leaving
}

// Received carries a message from another node.
type Received struct {
	From  string // id of the sender
	Frame *wire.Frame
}

// PeerLost reports that the connection to a node broke or could not be made.
type PeerLost struct {
	Peer string // id of the node
}

// Arrived carries a caller's request that needs an endpoint.
type Arrived struct {
	Request Request
}

// Request holds what the plug-ins need to know of a caller's request.
type Request struct {
	ID        string
	Service   string
	Workspace string
	Caller    string // sender of the request, within the workspace
	Class     string
	Model     string
	Prompt    int       // prompt length, tokens
	Limit     int       // maximum output length, tokens
	Prefix    uint64    // hash of the prompt's first block; 0 for none
	Deadline  time.Time // a grant after this time is useless
	Avoid     []string  // endpoints on which this request has failed
}

// Abandoned reports that the caller gave up on a request before it was granted
// an endpoint.
type Abandoned struct {
	Request string // id of the request
}

// Moved reports the output of a granted request so far.
type Moved struct {
	Request string // id of the request
	Tokens  int    // output tokens so far
}

// Ended reports that a granted request no longer runs on its endpoint.
type Ended struct {
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
	Load     Load
}

// Load is the load that an engine reports.
type Load struct {
	Running   int  // requests that run
	Waiting   int  // requests in the engine's queue
	Used      int  // KV-cache memory in use, tokens
	Preempted int  // preemptions since the engine started
	Leaving   bool // the engine reports that it is leaving
}

// Learned carries items that this node has learned from the platform's store. An
// event without items reports only that the store has answered.
type Learned struct {
	Items  []*wire.Item
	Listed bool // Items holds every item of the store
}

// Used carries the local usage: what this node runs on endpoints.
type Used struct {
	Uses []*wire.Use // one for each endpoint in use
}

// LeaveReported reports that an endpoint told this node that it is leaving.
type LeaveReported struct {
	Endpoint string
	Gone     time.Time // when the endpoint will be gone; zero if it did not say
}

// Stopping reports that this node has been asked to stop.
type Stopping struct{}

func (Tick) isEvent()          {}
func (DocumentRead) isEvent()  {}
func (StoreRead) isEvent()     {}
func (HostsListed) isEvent()   {}
func (Received) isEvent()      {}
func (PeerLost) isEvent()      {}
func (Arrived) isEvent()       {}
func (Abandoned) isEvent()     {}
func (Moved) isEvent()         {}
func (Ended) isEvent()         {}
func (LoadRead) isEvent()      {}
func (Learned) isEvent()       {}
func (Used) isEvent()          {}
func (LeaveReported) isEvent() {}
func (Stopping) isEvent()      {}
