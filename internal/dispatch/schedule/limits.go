package schedule

import "github.com/eelgrassreach/eelgrassreach/internal/model"

// The limits that apply where the configuration sets none, or 0.
const (
	defaultQueueRequests   = 10_000
	defaultQueueBytes      = 64 << 20
	defaultCrossRegionRate = 1 << 20 // bytes per second
	defaultRetryPercent    = 20
)

var defaultMinShare = [model.ClassCount]int{30, 20, 10} // percent

func withDefaults(l model.Limits) model.Limits {
	if l.QueueRequests <= 0 {
		l.QueueRequests = defaultQueueRequests
	}
	if l.QueueBytes <= 0 {
		l.QueueBytes = defaultQueueBytes
	}
	if l.CrossRegionRate <= 0 {
		l.CrossRegionRate = defaultCrossRegionRate
	}
	if l.RetryPercent <= 0 {
		l.RetryPercent = defaultRetryPercent
	}
	if l.MinSharePercent == [model.ClassCount]int{} {
		l.MinSharePercent = defaultMinShare
	}
	return l
}
