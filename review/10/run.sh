#!/bin/sh
case_folder=$(cd "$(dirname "$0")" && pwd)
. "$case_folder/../support-2/run.sh"
