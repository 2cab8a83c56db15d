"""Distribution with real processes: kills, freezes, outages, bad versions and partitions.

Six nodes in three failure domains, one watcher in each. After every step all nodes
converge on the newest valid version; no node ever puts an older or an invalid version in
force. Time limits only bound hangs.
"""
import sys
import time

import cluster
import fleet as fleets

TEST_NET = 62
NODES = 6
LIMIT_S = 90
QUIET_S = 3  # time in which a forbidden change would show

bad_versions = set()


def check(condition, text):
    if not condition:
        raise AssertionError(text)


def versions(mesh, hosts=None):
    return {host.name: mesh.admin(host, "/status")["version"] for host in hosts or mesh.hosts}


def wait_watchers(mesh, count):
    """Waits until `count` live nodes watch the source, and returns them."""
    found = []

    def enough():
        live = [host for host in mesh.hosts if host.node.poll() is None]
        found[:] = fleets.source_watchers(mesh, live)
        return len(found) >= count

    cluster.wait_until(enough, f"{count} nodes watch the source", LIMIT_S)
    return list(found)


def wait_refusal(mesh, version, code=None):
    """Waits until a node reports that it refused `version`."""
    def reported():
        refusals = [mesh.admin(host, "/status")["last_refusal"] for host in mesh.hosts]
        return any(r and r["version"] == version and code in (None, r["code"]) for r in refusals)

    cluster.wait_until(reported, f"a node reports its refusal of version {version}", LIMIT_S)


def watcher_killed(mesh):
    """After a watcher is killed, its failure domain still receives the next version."""
    victim = wait_watchers(mesh, len(mesh.fleet_domains))[0]
    others = [host for host in mesh.hosts if host is not victim]
    mesh.kill_nodes([victim])
    mesh.put(mesh.build(2))
    mesh.wait_in_force(2, others, limit_s=LIMIT_S)
    mesh.start_node(victim)
    mesh.wait_in_force(2, [victim], limit_s=LIMIT_S)


def node_frozen(mesh):
    """A watcher is frozen during a change and resumes with stale state."""
    frozen = wait_watchers(mesh, len(mesh.fleet_domains))[0]
    others = [host for host in mesh.hosts if host is not frozen]
    cluster.freeze(frozen.node)
    mesh.put(mesh.build(3))
    mesh.wait_in_force(3, others, limit_s=LIMIT_S)
    time.sleep(QUIET_S)
    cluster.thaw(frozen.node)
    mesh.wait_in_force(3, [frozen], limit_s=LIMIT_S)


def source_goes_back(mesh, old):
    """After an outage the source serves an older version: nodes report and reject it."""
    mesh.platform_control(mode="down")
    time.sleep(QUIET_S)
    mesh.put(old)
    mesh.platform_control(mode="up")
    wait_refusal(mesh, old.version, "stale")
    time.sleep(QUIET_S)
    found = versions(mesh)
    check(set(found.values()) == {3}, f"expected version 3 everywhere: {found}")
    mesh.put(mesh.build(4))
    mesh.wait_in_force(4, limit_s=LIMIT_S)


def bad_version_between_good_ones(mesh):
    """A version with a section whose content does not match its hash is rejected as a whole."""
    bad = mesh.build(5)
    bad_versions.add(5)
    for digest in bad.sections:
        if digest not in mesh.published_sections:
            mesh.platform_call("PUT", f"/v1/values/sections/{digest}", b"{}")
    mesh.platform_call("PUT", "/v1/values/manifest", bad.manifest)
    wait_refusal(mesh, 5)
    found = versions(mesh)
    check(set(found.values()) == {4}, f"expected version 4 everywhere: {found}")
    # Version 6 must not contain the section of version 5 with its correct content.
    mesh.hosts[bad.version % mesh.services].slots += 1
    mesh.put(mesh.build(6))
    mesh.wait_in_force(6, limit_s=LIMIT_S)


def domain_returns_without_source(mesh):
    """A failure domain restarts during a source outage and gets the version from its peers."""
    domain = mesh.domain_hosts(mesh.fleet_domains[0])
    mesh.platform_control(mode="down")
    mesh.kill_nodes(domain)
    began = time.time()
    mesh.start_nodes(domain)
    mesh.wait_in_force(6, domain, began, LIMIT_S)
    mesh.platform_control(mode="up")


def domain_cut_off(mesh):
    """A failure domain is partitioned from peers and source; the peer links return first."""
    name = mesh.fleet_domains[1]
    inside = mesh.domain_hosts(name)
    outside = [host for host in mesh.hosts if host not in inside]
    mesh.cut_links([inside, outside])
    mesh.platform_control(blocked=[mesh.domain_address(name)])
    mesh.put(mesh.build(7))
    mesh.wait_in_force(7, outside, limit_s=LIMIT_S)
    time.sleep(QUIET_S)
    found = versions(mesh, inside)
    check(set(found.values()) == {6}, f"expected version 6 behind the cut: {found}")
    mesh.restore_links()
    mesh.wait_in_force(7, inside, limit_s=LIMIT_S)
    mesh.platform_control(blocked=[])


def all_members_alive(mesh):
    """All nodes report all members alive and run the same version."""
    def settled():
        pages = [mesh.admin(host, "/status") for host in mesh.hosts]
        return all(page["version"] == 7 and len(page["members"]) == NODES
                   and all(member["state"] == "alive" for member in page["members"])
                   for page in pages)

    cluster.wait_until(settled, "all nodes know all others as alive, on version 7", LIMIT_S)


def main():
    with fleets.Fleet(TEST_NET, NODES, {"watchers": 1}) as mesh:
        old = mesh.start_fleet(limit_s=LIMIT_S)
        for step in (watcher_killed, node_frozen):
            print(step.__name__, flush=True)
            step(mesh)
        print("source_goes_back", flush=True)
        source_goes_back(mesh, old)
        for step in (bad_version_between_good_ones, domain_returns_without_source,
                     domain_cut_off, all_members_alive):
            print(step.__name__, flush=True)
            step(mesh)
        check(not mesh.rollbacks(), f"nodes rolled back: {mesh.rollbacks()}")
        for host in mesh.hosts:
            seen = {version for _, version in mesh.in_force(host)}
            check(not seen & bad_versions, f"{host.name} had a bad version in force: {seen}")


if __name__ == "__main__":
    sys.exit(main())
