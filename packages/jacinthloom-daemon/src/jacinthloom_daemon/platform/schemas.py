"""Schemas of the platform's JSON bodies, and their conversion to the core's types.

Field names are the platform's; comments explain the misleading ones.
"""

from __future__ import annotations

import ipaddress
import math
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner.fleet import WorkerEntry
from jacinthloom_core.planner.rules import AdvicePolicy, ClientAccount, Queue, Rules
from jacinthloom_core.planner.specs import (
    MAX_AMOUNT,
    MAX_NUMBER,
    JobSpec,
    StepId,
    StepSpec,
    TaskId,
)
from jacinthloom_wire.addresses import AddressError, split_address

from .errors import InvalidDataError

Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A count or a time in milliseconds."""

Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
"""An amount of a resource."""


class CapacityBody(msgspec.Struct):
    """Capacity of a worker."""

    cpu: Amount = 0
    memMb: Amount = 0  # noqa: N815
    gpu: Amount = 0

    def to_resources(self) -> Resources:
        """Return whole amounts, each rounded down."""
        return Resources(int(self.cpu), int(self.memMb), int(self.gpu))


class ResourcesBody(msgspec.Struct):
    """Resources of a task or a limit."""

    cpu: float = 0
    memMb: float = 0  # noqa: N815
    gpu: float = 0

    def to_resources(self) -> Resources:
        """Return whole amounts, each rounded up."""
        return Resources(
            math.ceil(self.cpu), math.ceil(self.memMb), math.ceil(self.gpu)
        )


class StepBody(msgspec.Struct):
    """A step of a submitted job."""

    count: int = 0
    cpu: float = 0
    memMb: float = 0  # noqa: N815
    gpu: float = 0
    estRuntimeMs: float = 0  # noqa: N815
    after: list[int] = []
    checkpoints: bool = False
    gang: bool = False
    sameRack: bool = False  # noqa: N815
    constraints: str = ""  # one label that the worker must have
    affinity: str = ""  # the rack that holds the data
    antiAffinity: int = 0  # noqa: N815  # maximum tasks of the step per worker
    speculative: bool = False
    longRunning: bool = False  # noqa: N815
    image: str = ""
    targetMs: float = 0  # noqa: N815
    fills: bool = False
    mayMiss: int = 0  # noqa: N815

    def to_spec(self) -> StepSpec:
        """Return the core's type."""
        return StepSpec(
            count=self.count,
            size=ResourcesBody(self.cpu, self.memMb, self.gpu).to_resources(),
            estimate_s=self.estRuntimeMs / 1000,
            after=tuple(self.after),
            checkpoints=self.checkpoints,
            gang=self.gang,
            same_rack=self.sameRack,
            label=self.constraints,
            data_rack=self.affinity,
            most_per_worker=self.antiAffinity,
            speculative=self.speculative,
            lasting=self.longRunning,
            image=self.image,
            target_s=self.targetMs / 1000,
            fills=self.fills,
            may_miss=self.mayMiss,
        )


class JobBody(msgspec.Struct):
    """A submitted job."""

    spec: str  # passed unchanged to each task
    steps: list[StepBody]
    startAtMs: int = 0  # noqa: N815
    periodMs: int = 0  # noqa: N815
    repeatCount: int = 0  # noqa: N815


class AdvicePolicyBody(msgspec.Struct):
    """Advice policy of a queue."""

    decideMs: float = 0  # noqa: N815
    perItemMs: float = 0  # noqa: N815
    validityMs: float = 0  # noqa: N815


class RouteBody(msgspec.Struct):
    """A queue."""

    name: str
    host: str
    pathPrefix: str  # noqa: N815
    service: str
    priority: int = 0
    maxAttempts: int = 1  # noqa: N815
    stretch: float = 1.0
    targetLatencyMs: float = 0  # noqa: N815
    recommendation: AdvicePolicyBody | None = None
    authExempt: bool = False  # noqa: N815

    def to_queue(self) -> Queue:
        """Return the core's type."""
        advice = None
        if self.recommendation is not None:
            body = self.recommendation
            advice = AdvicePolicy(
                body.decideMs / 1000, body.perItemMs / 1000, body.validityMs / 1000
            )
        return Queue(
            self.name,
            self.host,
            self.pathPrefix,
            self.service,
            self.priority,
            self.maxAttempts,
            self.stretch,
            self.targetLatencyMs / 1000,
            self.authExempt,
            advice,
        )


class TenantBody(msgspec.Struct):
    """A client account."""

    name: str
    apiKeys: list[str] = []  # noqa: N815
    weight: float = 1.0
    upperLimit: ResourcesBody = msgspec.field(default_factory=ResourcesBody)  # noqa: N815


class LimitsBody(msgspec.Struct):
    """Limits on calls."""

    maxBodyBytes: int = 262_144  # noqa: N815


class ServiceBody(msgspec.Struct):
    """A pool of workers."""

    name: str


class ConfigurationBody(msgspec.Struct):
    """The operators' configuration."""

    version: int
    routes: list[RouteBody] = []
    services: list[ServiceBody] = []
    tenants: list[TenantBody] = []
    limits: LimitsBody = msgspec.field(default_factory=LimitsBody)

    def to_rules(self) -> Rules:
        """Return the core's type."""
        return Rules(
            version=self.version,
            queue_by_name={route.name: route.to_queue() for route in self.routes},
            client_account_by_name={
                tenant.name: ClientAccount(
                    tenant.name, tenant.weight, tenant.upperLimit.to_resources()
                )
                for tenant in self.tenants
            },
            client_account_by_key={
                key: tenant.name for tenant in self.tenants for key in tenant.apiKeys
            },
            max_body_bytes=self.limits.maxBodyBytes,
            services=frozenset(service.name for service in self.services),
        )


class WorkerBody(msgspec.Struct):
    """A worker's own entry in the store."""

    service: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    capacity: CapacityBody
    labels: list[str] = []  # the kind first, then the rack
    born: Number = 0
    remainingMs: float | None = None  # noqa: N815

    def to_entry(self, worker: str) -> WorkerEntry:
        """Return the core's type.

        :raises InvalidDataError: if the address is malformed
        """
        _check_worker_address(self.address)
        remaining_s = None if self.remainingMs is None else self.remainingMs / 1000
        return WorkerEntry(
            worker,
            self.service,
            self.address,
            self.zone,
            self.state == "ready",
            self.capacity.to_resources(),
            frozenset(self.labels),
            self.labels[-1] if len(self.labels) > 1 else "",
            self.born,
            remaining_s,
        )


def _check_worker_address(address: str) -> None:
    """Check that an address can be dialled without a name lookup.

    :raises InvalidDataError: if it is not of the form ``IPv4:port``
    """
    try:
        host, port = split_address(address)
        ipaddress.IPv4Address(host)
    except (AddressError, ipaddress.AddressValueError) as error:
        raise InvalidDataError(str(error)) from error
    if not port:
        raise InvalidDataError(f"address {address!r} has port 0")


class OrderResponseBody(msgspec.Struct):
    """A worker's response to an order."""

    clockMs: int = 0  # noqa: N815
    reason: str = ""


class AdviceResponseBody(msgspec.Struct):
    """Response of the advice service."""

    good: list[Any]

    def to_tickets(self) -> tuple[tuple[str, str], ...]:
        """Return worker and ticket of each row; others are left out."""
        rows = (tuple(row[:2]) for row in self.good if isinstance(row, list))
        return tuple(
            (row[0], row[1])
            for row in rows
            if len(row) == 2 and all(isinstance(field, str) for field in row)
        )


def format_task(task: TaskId) -> str:
    """Format a task id for the platform."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.position}"


def format_step(step: StepId) -> str:
    """Format a step id for the platform."""
    return f"{step.job}.{step.occurrence}.{step.step}"


def parse_task(name: str) -> TaskId:
    """Parse a task id as the platform writes it.

    :raises InvalidDataError: if it is not of the form ``job.occurrence.step.position``
    """
    try:
        job, occurrence, step, position = name.split(".")
        return TaskId(job, int(occurrence), int(step), int(position))
    except (ValueError, AttributeError) as error:
        raise InvalidDataError(
            f"task id {name!r} is not of the form job.occurrence.step.position"
        ) from error


def decode_job(
    body: bytes, job: str, queue: str, client_account: str, now_ms: int
) -> JobSpec:
    """Decode the body of a job submission.

    :raises InvalidDataError: if it does not match the schema
    """
    decoded = decode_body(body, JobBody)
    return JobSpec(
        id=job,
        queue=queue,
        tenant=client_account,
        payload=decoded.spec,
        steps=tuple(step.to_spec() for step in decoded.steps),
        received_ms=now_ms,
        first_due_ms=decoded.startAtMs,
        period_ms=decoded.periodMs,
        occurrences=decoded.repeatCount,
    )


def decode_rules(body: bytes) -> Rules:
    """Decode the operators' configuration.

    :raises InvalidDataError: if it does not match the schema
    """
    return decode_body(body, ConfigurationBody).to_rules()


def decode_worker(worker: str, body: bytes) -> WorkerEntry:
    """Decode a worker's entry.

    :raises InvalidDataError: if it does not match the schema or lacks a field
    """
    return decode_body(body, WorkerBody).to_entry(worker)


def decode_order_response(body: bytes) -> OrderResponseBody:
    """Decode a worker's response to an order; an empty body gives the defaults.

    :raises InvalidDataError: if it does not match the schema
    """
    return decode_body(body, OrderResponseBody) if body else OrderResponseBody()


def decode_advice(body: bytes) -> AdviceResponseBody:
    """Decode a response of the advice service.

    :raises InvalidDataError: if it does not match the schema
    """
    return decode_body(body, AdviceResponseBody)


_Body = TypeVar("_Body")


def decode_body(body: bytes, body_type: type[_Body]) -> _Body:
    """Decode a JSON body.

    :raises InvalidDataError: if it does not match the type
    """
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidDataError(str(error)) from error
