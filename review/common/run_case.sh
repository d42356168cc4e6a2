# Sourced by each run.sh, which sets `trouble` to 1, or 0 to leave out the disruption. Starts the case's program in a
# temporary folder and passes its exit code on: 1 the rule was broken, 0 it held, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
number=$(basename "$folder")
program="$root/review/out/case-$number"
run=$(sed -n 's/^run *= *"\(.*\)".*$/\1/p' "$root/deploy/balancer.toml" | head -n 1)
if [ ! -x "$program" ] || [ -z "$run" ]; then
  echo "could not run: build review/build.sh first" >&2
  exit 2
fi
temporary=$(mktemp -d) || exit 2
child=
# The program's end ends all processes that it started.
clean_up() {
  if [ -n "$child" ]; then kill "$child" 2>/dev/null; wait "$child" 2>/dev/null; fi
  rm -rf "$temporary"
}
trap clean_up EXIT
trap 'exit 2' HUP INT TERM
timeout -k 2 115 "$program" "$root" "$run" "$temporary" "$folder/record.txt" "$trouble" &
child=$!
wait "$child"
code=$?
child=
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
