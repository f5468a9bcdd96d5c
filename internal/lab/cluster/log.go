package cluster

import (
	"io"
	"log"
)

// discardLogger suppresses net/http's messages about aborted connections.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }
