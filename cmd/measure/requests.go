package main

import "github.com/eelgrassreach/eelgrassreach/internal/measure/requests"

var _ = register("requests", requests.Run)
