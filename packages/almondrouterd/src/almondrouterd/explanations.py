"""Explains a daemon's decisions to operators."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from almondrouter.clock import Clock
from almondrouter.coordination.quarantine import Quarantine
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.state.occupancy import OccupancyTable
from almondrouter.state.snapshot import Destination, Snapshot
from almondrouterd.attainment import Attainment

Explanation = dict[str, Any]


class Explanations:
    """Explains a class's routes, a request's quarantine and the version in force.

    Parameters
    ----------
    snapshot
        Returns the snapshot in force.
    occupancy, quarantine, attainment
        Loads reported by backend servers, requests suspected of crashing them, and
        counts of calls answered in time.
    clock
        Source of monotonic time.
    describe_version
        Returns the lines that explain the version in force.
    """

    def __init__(
        self,
        *,
        snapshot: Callable[[], Snapshot],
        occupancy: OccupancyTable,
        quarantine: Quarantine,
        attainment: Attainment,
        clock: Clock,
        describe_version: Callable[[], list[str]],
    ) -> None:
        self._snapshot = snapshot
        self._occupancy = occupancy
        self._quarantine = quarantine
        self._attainment = attainment
        self._clock = clock
        self._describe_version = describe_version

    def explain(self, about: str, name: str) -> Explanation:
        """Return the explanation of a class, a request or the version in force.

        Parameters
        ----------
        about
            ``class``, ``request`` or ``version``.
        name
            Name of the class or fingerprint of the request; ignored for a version.

        Raises
        ------
        AlmondError
            ``class_unknown`` or ``target_unknown``.
        """
        if about == "class":
            return self._explain_class(name)
        if about == "request":
            return self._explain_request(name)
        if about == "version":
            return {"about": "version", "lines": self._describe_version()}
        message = f"{about!r} cannot be explained, only class, request or version"
        raise AlmondError(ErrorCode.TARGET_UNKNOWN, message)

    def _explain_class(self, name: str) -> Explanation:
        snapshot = self._snapshot()
        route = snapshot.routes.get(name)
        if route is None:
            message = f"class {name!r} is not declared in version {snapshot.version}"
            raise AlmondError(ErrorCode.CLASS_UNKNOWN, message)
        lines = [
            f"class {name}: service {route.service}, version {snapshot.version}",
            f"answer within {route.answer_within * 1000:.0f} ms, "
            f"priority {route.priority.value}, "
            f"{'repeatable' if route.repeatable else 'at most once'}",
        ]
        found = self._attainment.find(name)
        verdict = "met" if found.share >= route.share else "missed"
        lines.append(
            f"target {verdict}: {found.in_time} of {found.calls} calls through this "
            f"daemon in time over the last 5 to 10 minutes, {route.share:.1%} required"
        )
        lines += [f"limit {n}: {snapshot.limits[n]:g}/s" for n in route.limit_names]
        if not route.destinations:
            lines.append(
                "no backend server is available: calls are refused (no_backend)"
            )
        lines += [self._describe_destination(item) for item in route.destinations]
        return {"about": "class", "name": name, "lines": lines}

    def _describe_destination(self, destination: Destination) -> str:
        found = self._occupancy.find(destination.backend)
        load = "no load reported yet"
        if found is not None:
            load = f"about {found.calls(self._clock.monotonic()):.1f} calls"
        suspect = ", its daemon is suspected to be down" if destination.suspect else ""
        return (
            f"{destination.backend} on {destination.host} "
            f"({destination.data_centre}): {destination.slots} slots, {load}{suspect}"
        )

    def _explain_request(self, fingerprint: str) -> Explanation:
        found = self._quarantine.explain(fingerprint)
        lines = [f"request {fingerprint}: {found.suspicion.value}, {found.reason}"]
        lines += [
            f"crash of {report.backend} on {report.host}, report {report.report_id}"
            for report in found.crashes
        ]
        return {"about": "request", "name": fingerprint, "lines": lines}
