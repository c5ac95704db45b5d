"""Encodes the requests of stand-in clients."""

from random import Random
from typing import TYPE_CHECKING

from sloeferry.stand_ins.http_messages import encode_chunked, make_request_body
from sloeferry.stand_ins.wire_protocol import RequestKind

if TYPE_CHECKING:
    from sloeferry.rehearsal.arrivals import PlannedRequest
    from sloeferry.rehearsal.scenario import Scenario

METHODS = {RequestKind.IDEMPOTENT: b"GET", RequestKind.DEDUPLICATED: b"POST", RequestKind.NON_IDEMPOTENT: b"POST"}
DEFAULT_TENANT = b"anyone"
CHUNK_SIZE_COUNT = 4  # random chunk sizes per chunked body


def make_request_id(planned: "PlannedRequest", try_number: int) -> bytes:
    """Return the id of one try, 16 characters long."""
    return b"%012x%04x" % (planned.number, try_number)


def make_request(
    scenario: "Scenario", planned: "PlannedRequest", try_number: int, time_left_ms: float, body_bytes: int, rng: Random
) -> bytes:
    """Return one try as bytes; `rng` decides whether its body is chunked, and the chunk sizes."""
    request_class = scenario.request_classes[planned.class_index]
    request_id = make_request_id(planned, try_number)
    class_name = request_class.name.encode()
    tenants = scenario.tenants
    tenant_name = tenants[planned.tenant_index].name.encode() if tenants else DEFAULT_TENANT
    head = [
        b"%b /api/%b HTTP/1.1" % (METHODS[request_class.kind], class_name),
        b"Host: backend.local",
        b"X-Call-Id: " + request_id,
        b"X-Call-Class: " + class_name,
        b"X-Caller: " + tenant_name,
        b"X-Budget-Ms: %d" % max(1, int(time_left_ms)),
    ]
    if try_number:
        head.append(b"X-Again: 1")
    body = make_request_body(request_id, body_bytes)
    chunked_ratio = scenario.clients.chunked_body_ratio
    if request_class.kind != RequestKind.IDEMPOTENT:
        if chunked_ratio and rng.random() < chunked_ratio:
            head.append(b"Transfer-Encoding: chunked")
            body = encode_chunked(body, [rng.randint(1, 1 + len(body)) for _ in range(CHUNK_SIZE_COUNT)])
        else:
            head.append(b"Content-Length: %d" % request_class.body_bytes)
    if request_class.kind == RequestKind.DEDUPLICATED:
        head.append(b"Idempotency-Key: %032x" % planned.number)
    return b"\r\n".join(head) + b"\r\n\r\n" + body
