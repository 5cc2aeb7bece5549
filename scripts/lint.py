#!/usr/bin/env python3
"""Runs clang-tidy on every source file that it has not passed as it is.

Usage: lint.py BUILD [JOBS]

A file passes once for the same bytes of itself and of all that it includes, the same command, the
same rules and the same clang-tidy; its digest is kept in the cache folder. Failures are not kept.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache"))
CACHE = CACHE / "trefoilbend-lint"
EXTRA = ["-extra-arg=-Wno-unknown-warning-option"]


def output_of(*command):
    """Returns what a command prints; raises if it fails."""
    return subprocess.run(command, cwd=ROOT, check=True, capture_output=True, text=True).stdout


class Digests:
    """Digests of files, each read once."""

    def __init__(self):
        self.known = {}

    def of(self, path):
        """Returns the digest of a file's bytes."""
        if path not in self.known:
            self.known[path] = hashlib.sha256(path.read_bytes()).hexdigest()
        return self.known[path]


def read_dependencies(build):
    """Returns the files that each object was made from, by the object's path in the build."""
    dependencies = {}
    name = None
    for line in output_of("ninja", "-C", str(build), "-t", "deps").splitlines():
        if line.startswith("    "):
            dependencies[name].append((build / line.strip()).resolve())
        elif ": #deps" in line:
            name = line.split(": #deps")[0]
            dependencies[name] = []
    return dependencies


def name_of(path):
    """Returns a path that does not depend on where this checkout lies."""
    return str(path.relative_to(ROOT)) if path.is_relative_to(ROOT) else str(path)


def key_of(command, files, digests, common):
    """Returns the digest of all that a verdict depends on."""
    digest = hashlib.sha256(common)
    digest.update(command.replace(str(ROOT), "").encode())
    for path in sorted(files, key=lambda path: pathlib.PurePath(name_of(path))):
        digest.update(f"{name_of(path)} {digests.of(path)}\n".encode())
    return digest.hexdigest()


def object_of(command):
    """Returns the path of the object that a command makes."""
    words = shlex.split(command)
    return words[words.index("-o") + 1]


def keys(build, sources):
    """Returns the key of each source that the build compiles."""
    digests = Digests()
    dependencies = read_dependencies(build)
    common = output_of("clang-tidy", "--version").encode() + (ROOT / ".clang-tidy").read_bytes()
    found = {}
    for entry in json.loads((build / "compile_commands.json").read_text()):
        path = pathlib.Path(entry["directory"], entry["file"]).resolve()
        files = dependencies.get(object_of(entry["command"]))
        if path in sources and files:
            found[path] = key_of(entry["command"], files, digests, common)
    return found


def check(build, path):
    """Runs clang-tidy on one file; returns whether it passes, and what it prints."""
    done = subprocess.run(
        ["clang-tidy", "-p", str(build), "--quiet", *EXTRA, str(path)],
        cwd=ROOT, capture_output=True, text=True, check=False,
    )
    return done.returncode == 0, done.stdout + done.stderr


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    jobs = int(sys.argv[2]) if len(sys.argv) > 2 else os.cpu_count()
    listed = output_of("git", "ls-files", "*.cc").splitlines()
    sources = {(ROOT / name).resolve() for name in listed if ".capnp." not in name}
    found = keys(build, sources)
    unbuilt = sorted(name_of(path) for path in sources - found.keys())
    for name in unbuilt:
        print(f"not built, cannot be checked: {name}")
    CACHE.mkdir(parents=True, exist_ok=True)
    todo = [path for path, key in found.items() if not (CACHE / key).exists()]
    print(f"{len(found)} files, {len(todo)} to check", flush=True)
    failed = bool(unbuilt)
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        for path, (passed, text) in zip(todo, pool.map(lambda one: check(build, one), todo)):
            if passed:
                (CACHE / found[path]).touch()
            else:
                failed = True
                print(text)
    sys.exit(failed)


if __name__ == "__main__":
    main()
