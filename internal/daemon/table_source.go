package daemon

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/platform"
	"trefoilline.example/trefoilline/table"
)

const (
	// tablePath serves the objects of the table in force to other entry hosts.
	tablePath = "/trefoilline/objects/"
	// tableSpread is the time over which hosts that do not watch the store ask
	// for a new version, so that some have it before others ask.
	tableSpread = time.Second
	// tablePeers is how many other hosts are asked before the store.
	tablePeers = 2
)

// tableSource reads objects of the table from other entry hosts, else from the
// store. Objects are named by their content's sum, which the reader checks, so
// a host cannot pass on a wrong one.
type tableSource struct {
	daemon *daemon
	peers  []string
}

// tableSource returns where this host reads a new version. Those that watch
// the store read there; the others wait a moment and ask hosts of their zone.
func (d *daemon) tableSource(ctx context.Context) table.Getter {
	source := &tableSource{
		daemon: d,
	}
	if d.node.IsReader() || d.tables.Version() == 0 {
		return source
	}
	pause(ctx, rand.N(tableSpread))
	source.peers = d.zonePeers()
	rand.Shuffle(len(source.peers), func(i, j int) {
		source.peers[i], source.peers[j] = source.peers[j], source.peers[i]
	})
	source.peers = source.peers[:min(len(source.peers), tablePeers)]
	return source
}

// zonePeers returns the other hosts of this host's availability zone.
func (d *daemon) zonePeers() []string {
	members := d.members.Load()
	if members == nil {
		return nil
	}
	var names []string
	for _, r := range *members {
		if r.Zone == d.settings.Zone && r.Name != d.settings.Host {
			names = append(names, r.Name)
		}
	}
	return names
}

// Get returns an object of the table.
func (s *tableSource) Get(ctx context.Context, key string) (platform.Object, error) {
	for _, name := range s.peers {
		object, err := s.daemon.peers.object(ctx, name, key)
		if err == nil {
			return object, nil
		}
	}
	return s.daemon.store.Get(ctx, key)
}

// object asks another entry host for an object of the table.
func (p *peers) object(ctx context.Context, host, key string) (platform.Object, error) {
	address, known := p.address(host)
	if !known {
		return platform.Object{}, &UnknownPeerError{
			Host: host,
		}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+tablePath+key, nil)
	if err != nil {
		return platform.Object{}, err
	}
	request.Header.Set(header.FleetSecret, p.secret)
	response, err := p.client.Do(request)
	if err != nil {
		return platform.Object{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return platform.Object{}, &PeerRefusedError{
			Host:   host,
			Status: response.StatusCode,
		}
	}
	var object platform.Object
	err = json.NewDecoder(io.LimitReader(response.Body, 2*platform.MaxValueSize)).Decode(&object)
	return object, err
}

// writeObject serves an object of the table in force.
func (d *daemon) writeObject(w http.ResponseWriter, r *http.Request) {
	snapshot := d.tables.Current()
	if snapshot == nil {
		http.NotFound(w, r)
		return
	}
	object, err := snapshot.Get(r.Context(), strings.TrimPrefix(r.URL.Path, tablePath))
	if err != nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The other host may be gone; it asks elsewhere then.
	_ = json.NewEncoder(w).Encode(object)
}
