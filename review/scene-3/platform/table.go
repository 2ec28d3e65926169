package main

import (
	"encoding/json"
	"fmt"
	"strings"
)

// table is a desired state: a sharded route at /all/, one to a single service at /profile/, and
// routes to the same service that nobody uses.
type table struct {
	version int
	shards  []string
	single  string
	idle    int     // number of unused routes
	timeout int     // of the single route, in ms
	share   float64 // of the shards that an answer needs, 0.5 if it is 0
}

func (t table) text() string {
	shards, _ := json.Marshal(t.shards) // strings can always be encoded
	share := t.share
	if share == 0 {
		share = 0.5
	}
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, t.version)
	fmt.Fprintf(&b, `{"name":"all","host":%q,"prefix":"/all/","route_type":"safe","timeout_ms":2000,"target_latency_ms":150,"priority":1,"gather":%s,"max_attempts":2,"top_k":10,"min_shard_ratio":%g},`, host, shards, share)
	fmt.Fprintf(&b, `{"name":"profile","host":%q,"prefix":"/profile/","route_type":"safe","timeout_ms":%d,"target_latency_ms":500,"priority":2,"backend":%q,"max_attempts":2}`, host, t.timeout, t.single)
	for i := range t.idle {
		fmt.Fprintf(&b, `,{"name":"r-idle%05d","host":%q,"prefix":"/idle%05d/","route_type":"safe","timeout_ms":8000,"target_latency_ms":500,"priority":2,"backend":%q,"max_attempts":2}`, i, host, i, t.single)
	}
	b.WriteString(`],"backends":[`)
	for i, name := range append(append([]string{}, t.shards...), t.single) {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"name":%q,"health_path":"/health","max_connections":42,"protocol":"h1","tls":false}`, name)
	}
	b.WriteString(`],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`)
	return b.String()
}
