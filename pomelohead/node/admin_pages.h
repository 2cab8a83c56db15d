// The operators' pages of a node, over HTTP on the admin port.
//
//     GET  /status               the node, its configuration and its members (JSON)
//     GET  /explain?method=&path= where a request would go and why (JSON)
//     GET  /latency              histograms per account and class (JSON)
//     GET  /metrics              all metrics (Prometheus text)
//     GET  /quarantine           requests under suspicion (JSON)
//     POST /quarantine/release?fingerprint=F
//     POST /drain, POST /resume  no new work for the target beside the node; again work
//     POST /stop                 graceful stop
//     POST /testing              {"blocked_peers": [...]}, where the settings allow it
#pragma once

#include "pomelohead/node/node.h"

namespace pomelohead::node {

/// Answers one request for a page.
void serve_admin(node& n, forwarding::server_exchange& exchange);

} // namespace pomelohead::node
