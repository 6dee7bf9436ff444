#!/bin/bash
# Builds what the scripts of the cases start besides the program of the deploy file: the
# project's own fake of the platform's store, and the clients and engines of this folder.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
(cd .. && go build -o review/bin/lynxwell-standin .)
go build -o bin/rig ./rig
