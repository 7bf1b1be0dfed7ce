"""Tests of the build in deploy/system.toml on machines with few cores or little memory."""
import os
import pathlib
import re
import subprocess
import tempfile
import tomllib
import unittest

import scripts

GIB = 2**30
# What a compilation may need, which support/check-deploy checks.
BYTES_PER_JOB = 1.25 * GIB


def jobs(cores, free_bytes, limit_file=None, limit="max"):
    """How many compilations the deploy file's build runs at once on such a machine."""
    build = tomllib.loads((scripts.ROOT / "deploy/system.toml").read_text())["build"]
    with tempfile.TemporaryDirectory() as folder:
        folder = pathlib.Path(folder)
        (folder / "meminfo").write_text(
            f"MemTotal: {2 * free_bytes // 1024} kB\nMemAvailable:    {free_bytes // 1024} kB\n")
        for name, text in ("nproc", f"echo {cores}"), ("cmake", 'echo "cmake $*"'):
            (folder / name).write_text(f"#!/bin/sh\n{text}\n")
            (folder / name).chmod(0o755)
        if limit_file:
            (folder / limit_file).parent.mkdir(exist_ok=True)
            (folder / limit_file).write_text(f"{limit}\n")
        run = subprocess.run(["sh", "-c", build], cwd=scripts.ROOT, capture_output=True, text=True, check=True, env={
            **os.environ, "PATH": f"{folder}{os.pathsep}{os.environ['PATH']}",
            "MEMINFO": str(folder / "meminfo"), "CGROUP": str(folder)})
    return int(re.search(r"^cmake --build .* -j *(\d+)$", run.stdout, re.MULTILINE)[1])


class BuildJobs(unittest.TestCase):
    def test_compilations_at_once_fit_the_free_memory(self):
        for free in (int(3.5 * GIB), 6 * GIB, 14 * GIB):
            self.assertLessEqual(jobs(8, free) * BYTES_PER_JOB, free)
        self.assertEqual(jobs(8, int(3.5 * GIB)), 2)

    def test_compilations_at_once_fit_the_limit_of_a_control_group(self):
        for name in ("memory.max", "memory/memory.limit_in_bytes"):
            self.assertEqual(jobs(8, 64 * GIB, name, 3 * GIB), 2)

    def test_control_groups_without_a_limit_do_not_count(self):
        self.assertEqual(jobs(8, 64 * GIB, "memory.max", "max"), 8)
        self.assertEqual(jobs(8, 64 * GIB, "memory/memory.limit_in_bytes", "9223372036854771712"), 8)

    def test_compilations_at_once_fit_the_cores(self):
        self.assertEqual(jobs(2, 64 * GIB), 2)

    def test_a_machine_with_little_memory_compiles_one_file_at_once(self):
        self.assertEqual(jobs(8, GIB // 2), 1)


if __name__ == "__main__":
    unittest.main()
