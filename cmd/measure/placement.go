package main

import "github.com/eelgrassreach/eelgrassreach/internal/measure/gangs"

var _ = register("placement", gangs.Run)
