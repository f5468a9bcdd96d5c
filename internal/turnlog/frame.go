package turnlog

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
)

const (
	// A frame is the length and the checksum of a record (four bytes each, little endian) and the record itself.
	frameHeaderBytes = 8
	maxRecordBytes   = 32 << 20
	readBufferBytes  = 64 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errCorruptFrame means that a frame has an invalid length or checksum.
type errCorruptFrame struct{}

// Error implements error.
func (errCorruptFrame) Error() string { return "record with an invalid length or checksum" }

func readFrame(reader io.Reader) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	length := binary.LittleEndian.Uint32(header[:4])
	if length == 0 || length > maxRecordBytes {
		return nil, errCorruptFrame{}
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(reader, payload); err != nil {
		return nil, err
	}
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, errCorruptFrame{}
	}
	return payload, nil
}

// frameBytes returns the size of the frames of records.
func frameBytes(payloads [][]byte) int64 {
	size := int64(0)
	for _, payload := range payloads {
		size += frameHeaderBytes + int64(len(payload))
	}
	return size
}

func appendFrame(buffer, payload []byte) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(payload, castagnoli))
	return append(buffer, payload...)
}

// replaySegment replays the records up to the first truncated or corrupt one and returns their size in bytes.
// Anything after that was never acknowledged.
func replaySegment(name string, number int, replay func([]byte, Position)) (int64, error) {
	file, err := os.Open(name)
	if err != nil {
		return 0, wrapError("open", err)
	}
	defer file.Close()
	reader := bufio.NewReaderSize(file, readBufferBytes)
	var size int64
	for {
		payload, err := readFrame(reader)
		if err != nil {
			return size, nil
		}
		replay(payload, Position{segment: number, offset: size, length: len(payload)})
		size += int64(len(payload)) + frameHeaderBytes
	}
}
