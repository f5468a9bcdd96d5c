package conversation

import (
	"encoding/base64"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Writer identifies the software that generates a stream: a service and the version of its engines' software. It is a hash of
// these. Zero is unknown.
type Writer uint32

// WriterOf returns the Writer of a service's engines whose software has this version.
func WriterOf(service, software string) Writer {
	hash := xxhash.Sum64String(service + "\x00" + software)
	return Writer(max(hash>>(64-8*writerBytes), 1))
}

// Origin records which Writer generated the first event of a stream. It is kept in the ID of a charge: replicas store, copy
// and return IDs unchanged, also those of builds that know no origins.
type Origin struct {
	// stream is a hash of the ID of the attempt that began the stream.
	stream uint32
	// revision orders the origins of one stream: an attempt that moves to another Writer before its first event records
	// that with the next revision.
	revision int
	writer   Writer
}

// The ID of a charge with an origin is originPrefix, which no other ID begins with, and these fields in base64. It is short
// because replicas return the IDs of all charges of a program whenever a turn is opened.
const (
	originPrefix  = "."
	nonceBytes    = 3
	streamBytes   = 4
	revisionBytes = 1
	writerBytes   = 3
	originBytes   = nonceBytes + streamBytes + revisionBytes + writerBytes
	// maxRevision is the last revision of an origin; further ones don't replace it.
	maxRevision = 1<<(8*revisionBytes) - 1
)

// NewOrigin returns the origin of the stream that an attempt with this ID began.
func NewOrigin(stream string, revision int, writer Writer) Origin {
	return Origin{stream: streamHash(stream), revision: min(revision, maxRevision), writer: writer}
}

// streamHash returns a hash that only has to differ between the streams of one program.
func streamHash(stream string) uint32 { return uint32(xxhash.Sum64String(stream)) }

// ChargeID returns the ID of a charge that carries the origin. The nonce distinguishes charges with equal origins.
func (o Origin) ChargeID(nonce uint32) string {
	encoded := make([]byte, 0, originBytes)
	encoded = append(encoded, byte(nonce), byte(nonce>>8), byte(nonce>>16))
	encoded = binary.LittleEndian.AppendUint32(encoded, o.stream)
	encoded = append(encoded, byte(o.revision), byte(o.writer), byte(o.writer>>8), byte(o.writer>>16))
	return originPrefix + base64.RawURLEncoding.EncodeToString(encoded)
}

// parseOrigin returns the origin that a charge's ID carries, if any.
func parseOrigin(chargeID string) (Origin, bool) {
	text, found := strings.CutPrefix(chargeID, originPrefix)
	if !found {
		return Origin{}, false
	}
	encoded, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(encoded) != originBytes {
		return Origin{}, false
	}
	origin := Origin{
		stream: binary.LittleEndian.Uint32(encoded[nonceBytes:]), revision: int(encoded[nonceBytes+streamBytes]),
		writer: Writer(encoded[8]) | Writer(encoded[9])<<8 | Writer(encoded[10])<<16,
	}
	return origin, origin.writer != 0
}

// OriginLookup finds the origin of one stream among charges.
type OriginLookup struct {
	stream  uint32
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

// Unclear reports whether the newest origins contradict each other.
func (l *OriginLookup) Unclear() bool { return l.unclear }

// Writer returns the Writer of the newest origin; zero if there is none or if two contradict each other.
func (l *OriginLookup) Writer() Writer {
	if l.unclear {
		return 0
	}
	return l.found.writer
}
