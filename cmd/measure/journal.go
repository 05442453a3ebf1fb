package main

import "github.com/eelgrassreach/eelgrassreach/internal/measure"

var _ = register("journal", measure.Journal)
