"""Settings files of the platform for processes on loopback, for tests and measurements."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import yaml

# Offsets from the first port of a cluster.
PORTS = {"outbound": 1, "ready": 2, "control": 3}
TARGET_PORT = 9


def address(ip: str, port: str, base: int) -> str:
    """Return the address of a named port."""
    return f"{ip}:{base + PORTS[port]}"


def write_boot_file(
    folder: str,
    ip: str,
    cores: Sequence[str],
    base: int,
    *,
    bootstrap: bool = True,
    service: str = "robes",
    tolerated_machines: int = 1,
    retry_slack: float = 0.0,
    seeds: Sequence[str] = (),
    contracts: Sequence[str] = (),
) -> Path:
    """Write the settings file of one process and return its path."""
    is_core = ip in cores
    names = ("control",) if is_core else tuple(PORTS)
    settings = {
        "node": ip,
        "ip": ip,
        "zone": f"zone-{ip.split('.')[2]}",
        "region": "r",
        "listen": {name: address(ip, name, base) for name in names},
        "portRange": [base + 4, base + 8],
        "seeds": [address(core, "control", base) for core in seeds or cores],
        "bootstrap": bootstrap,
        "limits": {"maxFds": 2_000},
        "dataDir": f"{folder}/{ip}" if is_core else None,
        "faultTolerance": {"machines": tolerated_machines},
        "bounds": {"graceS": 6, "retryBudgetSlack": retry_slack, "exposureSlack": 50},
        "contracts": list(contracts),
        "service": None if is_core else service,
        "appAddr": f"{ip}:{base + TARGET_PORT}",
    }
    path = Path(folder) / f"{ip}.yaml"
    # A process that reads the file at this moment must not see a part of it.
    new_path = path.with_suffix(".new")
    new_path.write_text(yaml.dump(settings))
    new_path.rename(path)
    return path


def heartbeat(
    ip: str, base: int, state: str = "ready", seq: int = 1, version: str = "v1"
) -> dict[str, object]:
    """Return a heartbeat of the target beside a process."""
    return {
        "address": f"{ip}:{base + TARGET_PORT}",
        "info": {"service": "robes", "version": version, "zone": "zone-1", "slots": 6},
        "status": {"state": state, "seq": seq, "coldRemainingS": 0},
        "born": 1_000,
    }
