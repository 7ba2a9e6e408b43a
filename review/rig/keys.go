package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["keys"] = keysCase }

const (
	otherKey    = "wsjnbanfqasnmgkcuyj8" // of the same tenant as tenantKey
	strangerKey = "zzzzzzzzzzzzzzzzzzzz" // that no config ever holds

	revokeGap  = 1500 * time.Millisecond // between two configs that take a key away
	applyTime  = 2 * time.Second         // config-apply-ms
	keysBefore = 8 * time.Second         // until the first key is taken away
	keysAfter  = 12 * time.Second        // after the last one
)

// tenantConfig returns a config of a version in which the only tenant holds the given keys.
func tenantConfig(version int, keys []string) map[string]any {
	c := config(version)
	c["tenants"] = []any{map[string]any{"name": tenantName, "api-keys": keys, "priority": 1}}
	return c
}

// keysCase takes both keys of the only tenant away, one after the other.
func keysCase(ctx context.Context, r *rig) (bool, string, error) {
	version := 7
	r.store.put("op/config", tenantConfig(version, []string{tenantKey, otherKey}))
	zones := []string{"khomas-a", "khomas-b", "khomas-c"}
	for i := range 3 {
		cfg := serverConfig{ID: fmt.Sprintf("i-app-%d", i), Service: plainService, Zone: zones[i], Version: "v1", Slots: 6, Work: 20 * time.Millisecond}
		if _, err := r.addServer(cfg); err != nil {
			return false, "", err
		}
	}
	if err := r.addNodes(4); err != nil {
		return false, "", err
	}
	if err := r.startNodes(); err != nil {
		return false, "", err
	}
	var mu sync.Mutex
	keyOf := map[string]string{} // by request id
	sentAt := map[string]time.Time{}
	statuses := map[string]int{} // by key and status
	var consumers sync.WaitGroup
	var lastAck time.Time
	began := time.Now()
	revoked := 0
	for lastAck.IsZero() || time.Since(lastAck) < keysAfter {
		consumers.Go(func() {
			key := []string{tenantKey, otherKey, tenantKey, otherKey, strangerKey}[rand.IntN(5)]
			c := call{node: r.nodes[rand.IntN(len(r.nodes))], method: http.MethodPost, path: confirmPath, id: r.newID(), deadline: 1500 * time.Millisecond, key: key}
			mu.Lock()
			keyOf[c.id], sentAt[c.id] = key, time.Now()
			mu.Unlock()
			res := c.do(ctx)
			r.record("consumer with key %s at %s: request %s: status %d", key, c.node.name, c.id, res.status)
			mu.Lock()
			statuses[fmt.Sprintf("%s %d", key, res.status)]++
			mu.Unlock()
		})
		time.Sleep(40 * time.Millisecond)
		if revoked == 2 || time.Since(began) < keysBefore+time.Duration(revoked)*revokeGap {
			continue
		}
		revoked++
		version += 3
		keys := []string{tenantKey, otherKey}
		if r.trouble { // else the version changes, and the keys stay
			keys = keys[revoked:]
		}
		r.store.put("op/config", tenantConfig(version, keys))
		lastAck = time.Now()
		r.record("the store acknowledged config %d, in which tenant %s holds the keys %v", version, tenantName, keys)
	}
	consumers.Wait()
	stranger, dropped := 0, 0
	for _, a := range r.allArrivals() {
		switch {
		case !a.ran:
		case keyOf[a.id] == strangerKey:
			stranger++
		case r.trouble && sentAt[a.id].Sub(lastAck) > applyTime:
			dropped++
		}
	}
	text := fmt.Sprintf("%d requests ran whose key no config ever held (ROUTE); %d ran with a dropped key, sent later than config-apply-ms after the ack (CONFIG); answers by key and status: %v", stranger, dropped, statuses)
	return stranger > 0, text, nil
}
