# Sourced by run.sh of each case, with the case's folder in $case_folder. Runs its program from the project's root, with the
# deploy file's command for the sidecar. Exit code: 1 broken, 0 held, 2 could not run.
cd "$case_folder/../.." || exit 2
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"[^"]*$/\1/p' deploy/balancer.toml)
CASE_FOLDER=$case_folder
export RUN_COMMAND CASE_FOLDER
program=build/review-2/case-$(basename "$case_folder")
if [ ! -x "$program" ] || [ -z "$RUN_COMMAND" ]; then
  echo "can't run: build the project and review/build-2.sh first" >&2
  exit 2
fi
timeout -k 5 115 "$program"
code=$?
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
