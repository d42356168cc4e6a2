#!/bin/sh
# TROUBLE=0 plays the case without its disruption.
trouble=1
if [ "${TROUBLE:-1}" = 0 ]; then trouble=0; fi
. "$(dirname "$0")/../common/run_case.sh"
