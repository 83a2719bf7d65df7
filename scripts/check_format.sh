#!/usr/bin/env bash
# Fails when a source file differs from .clang-format.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -z --cached --others --exclude-standard '*.h' '*.cpp' | xargs -0 -r clang-format --dry-run --Werror
