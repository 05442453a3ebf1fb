package main

import "github.com/eelgrassreach/eelgrassreach/internal/measure/changes"

var _ = register("journal", changes.Run)
