"""Another writer registers the address of a back end under a service that isn't named.

Two nodes with a back end each, of two services. The first configuration has a route to the first
service; the next one adds a route to the second. Then an entry of another writer appears in the
store. It has the address of the second back end and a service that no configuration names.
"""
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
from backend import Backend  # noqa: E402
from mesh import STABILITY_S, call, run_case, trouble_wanted  # noqa: E402

REQUESTS = 40
LEAST_REQUESTS = 20
CONFIG_S = 2.0


def case(mesh, record):
    mesh.add_service("first")
    mesh.add_service("second")
    mesh.add_route("first-route", "/first/", "safe", "first", 1000)
    mesh.start_store()
    one, two = mesh.start_node(1, "first"), mesh.start_node(2, "second")
    backends = {"/first/": Backend(one.app(), "i-1", record),
                "/second/": Backend(two.app(), "i-2", record)}
    mesh.register("i-1", one.app(), "first")
    mesh.register("i-2", two.app(), "second")
    mesh.wait_ready()
    mesh.add_route("later-route", "/second/", "unsafe", "second", 1000)
    mesh.put_configuration()
    record.line("the operator adds the route /second/")
    time.sleep(CONFIG_S + 1)
    before, _, _ = call(one.outbound(), "POST", "/second/0", "before", b"w")
    record.line(f"a request on /second/ gets {before}")
    if trouble_wanted():
        mesh.register("other-1", two.app(), "not-named-here")
        record.line(f"another writer registers other-1 at {two.app()[0]}:{two.app()[1]}, service "
                    f"not-named-here")
    time.sleep(STABILITY_S + CONFIG_S)
    served = {}
    for prefix, method in (("/first/", "GET"), ("/second/", "POST")):
        served[prefix] = 0
        for number in range(REQUESTS):
            node = mesh.nodes[number % 2 + 1]
            identity = f"{prefix.strip('/')}-{number}"
            status, _, _ = call(node.outbound(), method, prefix + "1", identity,
                                b"w" if method == "POST" else b"")
            served[prefix] += status == 200
            record.line(f"{identity} at machine {node.number}: {status}")
        record.line(f"{served[prefix]} of {REQUESTS} requests on {prefix} served, "
                    f"{len(backends[prefix].runs)} runs at {backends[prefix].instance} in all")
    return REQUESTS >= LEAST_REQUESTS and served["/second/"] < served["/first/"] / 4


run_case(FOLDER, case)
