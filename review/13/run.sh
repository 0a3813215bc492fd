#!/bin/sh
# Runs the case in the repository root, after the build of the deploy file and review/build-3.sh.
exec target/review-3/stand-ins-3 small-group review/13
