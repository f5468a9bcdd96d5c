package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepAliveMargin is subtracted from the engine's keep-alive timeout, so that the engine does not close the
// connection while a request is in transit.
const keepAliveMargin = 500 * time.Millisecond

// updateIdleDeadline applies the timeout parameter of the Keep-Alive header.
func (c *Connection) updateIdleDeadline(response *http.Response) {
	c.lastUsedAt = time.Now()
	c.idleDeadline = time.Time{}
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err == nil {
			c.idleDeadline = c.lastUsedAt.Add(time.Duration(seconds*float64(time.Second)) - keepAliveMargin)
		}
	}
}

func (c *Connection) expired(now time.Time) bool {
	if !c.idleDeadline.IsZero() {
		return now.After(c.idleDeadline)
	}
	return now.Sub(c.lastUsedAt) > defaultIdleTimeout
}
