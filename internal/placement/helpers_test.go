package placement_test

import (
	"errors"

	"github.com/eelgrassreach/eelgrassreach/internal/placement"
)

func asShapeError(err error, target **placement.ShapeError) bool { return errors.As(err, target) }
