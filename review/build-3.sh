#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review, after the build of the deploy file.
#
# They are Python, and the project's own that they use (testkit/hosted) need no more than
# the packages in target/deps. What is left to do is to compile and to import them.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 - <<'END'
import importlib
import pathlib
import sys

for folder in ("review/standins3", *map(str, pathlib.Path("review").glob("1[1-5]"))):
    for path in pathlib.Path(folder).glob("*.py"):
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
for name in ("fleet", "slow_link"):
    importlib.import_module(f"review.standins3.{name}")
for name in ("log_store", "worker"):
    importlib.import_module(f"testkit.hosted.{name}")
sys.stdout.write("the stand-ins can be started\n")
END
