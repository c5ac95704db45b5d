"""What stand-in clients write: one request as bytes."""

from random import Random
from typing import TYPE_CHECKING

from sloeferry.stand_ins.http_messages import encode_chunked, make_request_body
from sloeferry.stand_ins.wire_protocol import RequestKind

if TYPE_CHECKING:
    from sloeferry.rehearsal.arrivals import PlannedRequest
    from sloeferry.rehearsal.scenario import Scenario

METHODS = {RequestKind.IDEMPOTENT: b"GET", RequestKind.DEDUPLICATED: b"POST", RequestKind.NON_IDEMPOTENT: b"POST"}
UNNAMED_TENANT = b"anyone"
CHUNK_SIZES = 4  # drawn for a chunked body


def make_request_id(planned: "PlannedRequest", try_number: int) -> bytes:
    """The id of one try: 16 characters."""
    return b"%012x%04x" % (planned.number, try_number)


def make_request(
    scenario: "Scenario", planned: "PlannedRequest", try_number: int, time_left_ms: float, body_bytes: int, rng: Random
) -> bytes:
    """One try as bytes; `rng` decides whether its body comes in chunks, and in which."""
    request_class = scenario.request_classes[planned.class_index]
    request_id = make_request_id(planned, try_number)
    class_name = request_class.name.encode()
    tenants = scenario.tenants
    tenant_name = tenants[planned.tenant_index].name.encode() if tenants else UNNAMED_TENANT
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
            body = encode_chunked(body, [rng.randint(1, 1 + len(body)) for _ in range(CHUNK_SIZES)])
        else:
            head.append(b"Content-Length: %d" % request_class.body_bytes)
    if request_class.kind == RequestKind.DEDUPLICATED:
        head.append(b"Idempotency-Key: %032x" % planned.number)
    return b"\r\n".join(head) + b"\r\n\r\n" + body
