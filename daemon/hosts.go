package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/wire"
	"k8s.io/klog/v2"
)

// host is one entry of the platform's list of hosts.
type host struct {
	IP     string `json:"ip"`
	Peer   string `json:"peer"`   // address for other nodes; empty unless the host is an entry host
	Front  string `json:"front"`  // address for callers
	Centre string `json:"centre"` // data centre
	State  string `json:"state"`  // "leaving" if the host is about to go
}

// pollHosts starts to read the list of hosts periodically and to post it to the
// kernel.
func (d *Daemon) pollHosts(ctx context.Context) <-chan error {
	return runPeriodically(ctx, hostsInterval, func() {
		body, err := get(d.hostsHTTP, "http://"+d.cfg.HostsAddr+"/v1/hosts")
		if err == nil {
			var hosts []host
			if hosts, err = decodeHosts(body); err == nil {
				d.post(ctx, hostsListed(hosts))
				return
			}
		}
		klog.V(1).InfoS("Failed to read the list of hosts; keeping the previous one", "err", err)
	})
}

func hostsListed(hosts []host) kernel.HostsListed {
	var e kernel.HostsListed
	for _, h := range hosts {
		if h.Peer != "" {
			e.Nodes = append(e.Nodes, &wire.Member{Id: h.Peer, Front: h.Front, Centre: h.Centre})
		}
		if h.State == "leaving" {
			e.Leaving = append(e.Leaving, h.IP)
		}
	}
	return e
}

// decodeHosts decodes the list of hosts. It leaves out and logs entries that are no hosts:
// another program may have written one, and the others still hold.
func decodeHosts(data []byte) ([]host, error) {
	entries, err := splitArray(data)
	if err != nil {
		return nil, err
	}
	var hosts []host
	for _, entry := range entries {
		h, err := decodeHost(entry)
		if err != nil {
			klog.V(1).InfoS("Ignoring an entry of the list of hosts", "err", err)
			continue
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

func decodeHost(data []byte) (host, error) {
	var h host
	if err := json.Unmarshal(data, &h); err != nil {
		return host{}, errors.Wrap(err, "decode host")
	}
	if h.Peer != "" {
		if addr, err := netip.ParseAddrPort(h.Peer); err != nil || addr.Port() == 0 {
			return host{}, errors.Errorf("host %.64q: %.64q is not an IP address and port", h.IP, h.Peer)
		}
	}
	return h, nil
}

// splitArray returns the elements of a JSON array as they are. Unlike encoding/json it does
// not reject the whole array if one element is nested too deeply or is no valid value.
func splitArray(data []byte) ([][]byte, error) {
	data = bytes.TrimSpace(data)
	if len(data) < 2 || data[0] != '[' || data[len(data)-1] != ']' {
		return nil, errors.New("the list of hosts is not an array")
	}
	data = data[1 : len(data)-1]
	var elements [][]byte
	begin, depth, quoted := 0, 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 0:
			elements = append(elements, data[begin:i])
			begin = i + 1
		}
	}
	if depth != 0 || quoted {
		return nil, errors.New("the brackets or quotes in the list of hosts are not balanced")
	}
	if last := bytes.TrimSpace(data[begin:]); len(last) > 0 || len(elements) > 0 {
		elements = append(elements, last)
	}
	return elements, nil
}
