package conversation

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Writer identifies the software that generates a stream: a service and the version of its engines' software. It is a hash,
// because replicas return the IDs of all charges of a program whenever a turn is opened. Zero is unknown.
type Writer uint32

// WriterOf returns the Writer of a service's engines whose software has this version.
func WriterOf(service, software string) Writer {
	return Writer(max(uint32(xxhash.Sum64String(service+"\x00"+software)), 1))
}

// Origin records which Writer generated the first event of a stream. It is kept in the ID of a charge: replicas store, copy
// and return IDs unchanged, also those of builds that know no origins.
type Origin struct {
	// stream is a hash of the ID of the attempt that began the stream.
	stream uint64
	// revision orders the origins of one stream: an attempt that moves to another Writer before its first event records
	// that with the next revision.
	revision int
	writer   Writer
}

const (
	originSeparator = "."
	// originBase is the base of the numbers in a charge's ID.
	originBase = 36
	// streamHashBits is how many bits of a stream's hash are kept. Only the streams of one program have to differ.
	streamHashBits = 40
	writerBits     = 32
)

// NewOrigin returns the origin of the stream that an attempt with this ID began.
func NewOrigin(stream string, revision int, writer Writer) Origin {
	return Origin{stream: streamHash(stream), revision: revision, writer: writer}
}

func streamHash(stream string) uint64 { return xxhash.Sum64String(stream) >> (64 - streamHashBits) }

// ChargeID returns the ID of the charge that carries the origin. The nonce distinguishes charges with equal origins.
func (o Origin) ChargeID(nonce string) string {
	return strings.Join([]string{
		nonce, strconv.FormatUint(o.stream, originBase), strconv.FormatInt(int64(o.revision), originBase), strconv.FormatUint(uint64(o.writer), originBase),
	}, originSeparator)
}

// parseOrigin returns the origin that a charge's ID carries, if any.
func parseOrigin(chargeID string) (Origin, bool) {
	parts := strings.Split(chargeID, originSeparator)
	if len(parts) != 4 {
		return Origin{}, false
	}
	stream, streamErr := strconv.ParseUint(parts[1], originBase, streamHashBits)
	revision, revisionErr := strconv.ParseUint(parts[2], originBase, 31)
	writer, writerErr := strconv.ParseUint(parts[3], originBase, writerBits)
	if streamErr != nil || revisionErr != nil || writerErr != nil || writer == 0 {
		return Origin{}, false
	}
	return Origin{stream: stream, revision: int(revision), writer: Writer(writer)}, true
}

// OriginLookup finds the origin of one stream among charges.
type OriginLookup struct {
	stream  uint64
	found   Origin
	unclear bool
}

// LookupOrigin returns an OriginLookup for the stream that an attempt with this ID began.
func LookupOrigin(stream string) *OriginLookup { return &OriginLookup{stream: streamHash(stream)} }

// Add considers another charge.
func (l *OriginLookup) Add(chargeID string) {
	origin, valid := parseOrigin(chargeID)
	switch {
	case !valid || origin.stream != l.stream:
	case l.found.writer == 0 || origin.revision > l.found.revision:
		l.found, l.unclear = origin, false
	case origin.revision == l.found.revision && origin.writer != l.found.writer:
		l.unclear = true
	}
}

// Writer returns the Writer of the newest origin; zero if there is none or if two contradict each other.
func (l *OriginLookup) Writer() Writer {
	if l.unclear {
		return 0
	}
	return l.found.writer
}
