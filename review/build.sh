#!/bin/sh
# Builds the stand-in that the scripts start: the platform's store, workers, the operator and consumers in one program.
cd "$(dirname "$0")/standin" || exit 2
exec go build -o ../../target/review-standin .
