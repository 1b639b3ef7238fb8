package shares

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the mean time after which refused callers return.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second

	// maxWait is the part of their remaining time that callers wait at most.
	maxWait = 1.0 / 3

	// urgencySteps is the number of priorities over which the time grows to that in which the excess drains. Urgent callers return
	// early, since most of them are served when they do.
	urgencySteps = 4

	// firstReturn is the part of the span in which no caller returns: it would be refused by the same share.
	firstReturn = 0.1
)

// RetryAfter returns when a refused caller is to return, by the share of the requests of its priority, its draw, and its remaining time.
//
// The requests that are refused in one second take (1 - share) / share seconds to be served at the same rate. Callers return over
// twice that time, those with the lowest draws first.
func RetryAfter(share, draw float64, priority int, left time.Duration) time.Duration {
	mean := maxRetryAfter
	if share > 0 {
		seconds := (1 - share) / share * float64(1+max(0, priority)) / urgencySteps
		mean = time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	span := min(2*max(mean, minRetryAfter), time.Duration(maxWait*float64(left)))
	place := draw
	if draw >= share && share < 1 {
		place = (draw - share) / (1 - share)
	}
	return max(min(minRetryAfter, span), time.Duration(float64(span)*(firstReturn+(1-firstReturn)*min(1, place))))
}

// NextRetryAfter returns when a caller is to return that was refused before, by its draw and its remaining time. Keys that became hot are
// spread within a second or two, so that one who returns at once would be refused a third time.
func NextRetryAfter(draw float64, left time.Duration) time.Duration {
	longest := min(maxRetryAfter, time.Duration(maxWait*float64(left)))
	return max(minRetryAfter, time.Duration((1+draw)/2*float64(longest)))
}
