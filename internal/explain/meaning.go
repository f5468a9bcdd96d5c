package explain

import "github.com/mountstile/mountstile/internal/apierr"

// meanings explains each failure reason and where to look next. docs/OPERATIONS.md has the details.
var meanings = map[apierr.Code]string{
	apierr.StoreUnavailable: "the gateway had just started and knew no configuration yet",
	apierr.NotFound:         "the configuration in force (version) has no route for host and path",
	apierr.InvalidRequest:   "the request is malformed; the error names what",
	apierr.BodyTooLarge:     "the body is over the configured limit",
	apierr.HeaderTooLarge:   "the headers are over the configured limit",
	apierr.BudgetExceeded:   "the program's turns, those under way at their most, leave no room for this one",
	apierr.NoSuchTurn:       "so many complete replicas do not know the previous turn that it was never kept, or has expired",
	apierr.OriginUnknown:    "the caller resumes a stream, and no replica holds a clear record of the software version that began it, nor has this gateway seen only one version since: look at the first attempt (resumes) and its origin_error",
	apierr.Stopping:         "the gateway was stopping, and the request might not have ended in the rest of the grace period: it was not run, other gateways serve it",
	apierr.EndsEngines:      "three engines ended while they ran this request, over all its attempts: request_fatal names them, engine_ended the proof of each",
	apierr.TurnsUnavailable: "too few replicas answered in time: look for replica events and lost peers above",
	apierr.NoEngine:         "no engine could take the call within the wait: look for breakers, gone and draining engines above",
	apierr.ExecutionUnknown: "the engine got the request and its answer was lost or damaged; the call may not be run again",
	apierr.DeadlineExceeded: "the caller's patience or the route's time limit was over",
	apierr.Cancelled:        "the caller left before the answer was there",
	apierr.Internal:         "the answer broke off on the way",
}

func meaning(reason string, line Line) string {
	text, known := meanings[apierr.Code(reason)]
	if !known {
		text = "see docs/API.md"
	}
	if detail := line.text("error"); detail != "" {
		text += " [" + detail + "]"
	}
	return text
}
