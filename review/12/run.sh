#!/bin/bash
cd "$(dirname "$0")/../.." && exec node review/12/run.mjs
