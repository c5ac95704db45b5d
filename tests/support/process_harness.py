"""Harness that runs the proxy in a process of its own, under a memory limit that is checked and not enforced."""

import asyncio
import json
import os
import sys
import tempfile
from typing import Any

from sloeferry.stand_ins import processes
from tests.support.proxy_harness import ProxyHarness


class ProcessHarness(ProxyHarness):
    """Harness whose proxy is a process; the most memory that it had is known once the harness has ended."""

    def __init__(self, *arguments: Any, memory_mb: float, **keywords: Any):
        super().__init__(*arguments, **keywords)
        self.memory_mb = memory_mb
        self.peak_memory_mb = 0.0
        self.exit_code: int | None = None  # None: it ran to the end

    async def _run_proxy(self) -> None:
        self.config["limits"]["memory_mb"] = self.memory_mb
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "config.json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(self.config, file)
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sloeferry",
                stderr=asyncio.subprocess.DEVNULL,
                env={"BALANCER_CONFIG": path, "TMPDIR": folder, "SLOEFERRY_LOG": "ERROR"},
            )
            try:
                self.exit_code = await process.wait()
            finally:
                if process.returncode is None:
                    self.peak_memory_mb = processes.memory_mb(process.pid, "VmHWM")
                    process.kill()
                    await process.wait()
