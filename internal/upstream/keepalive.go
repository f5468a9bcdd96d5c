package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepAliveMargin is how long before the engine's time an idle connection is no longer used: a
// request on the way must not meet the close.
const keepAliveMargin = 500 * time.Millisecond

func (c *Connection) noteKeepAlive(response *http.Response) {
	c.usedAt = time.Now()
	c.idleUntil = time.Time{}
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err == nil {
			c.idleUntil = c.usedAt.Add(time.Duration(seconds*float64(time.Second)) - keepAliveMargin)
		}
	}
}

func (c *Connection) expired(now time.Time) bool {
	if !c.idleUntil.IsZero() {
		return now.After(c.idleUntil)
	}
	return now.Sub(c.usedAt) > idleLimit
}
