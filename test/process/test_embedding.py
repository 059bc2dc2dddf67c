#!/usr/bin/env python3
"""The installed library can be used by another CMake project.

Guards against an install that lacks a header, a library or a dependency in
the CMake package.
"""

import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]


def run(*command):
    subprocess.run([str(argument) for argument in command], check=True,
                   timeout=240)


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    with tempfile.TemporaryDirectory(prefix="galenarudder-") as folder:
        prefix = pathlib.Path(folder) / "prefix"
        example = pathlib.Path(folder) / "embedding"
        run("cmake", "--install", build, "--prefix", prefix)
        run("cmake", "-S", ROOT / "examples/embedding", "-B", example,
            "-G", "Ninja", f"-DCMAKE_PREFIX_PATH={prefix}",
            "-DCMAKE_BUILD_TYPE=Release")
        run("cmake", "--build", example)
        run(example / "embedding")
    return 0


if __name__ == "__main__":
    sys.exit(main())
