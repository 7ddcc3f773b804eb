#!/usr/bin/env bash
# Checks every source file: `format` with clang-format, `lint` with clang-tidy
# (needs a configured build).
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.cc' '*.h')
case "${1:-}" in
  format) clang-format --dry-run --Werror "${files[@]}" ;;
  lint)
    printf '%s\n' "${files[@]}" | grep '\.cc$' |
      xargs -P "${FIRMOOR_JOBS:-$(nproc)}" -n 1 clang-tidy -p build --quiet \
        2> >(grep -vE 'warnings? generated|Suppressed|Use -header-filter' >&2)
    ;;
  *) echo "usage: check_style.sh format|lint" >&2; exit 2 ;;
esac
