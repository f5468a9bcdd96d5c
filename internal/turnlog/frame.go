package turnlog

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
)

const (
	// A frame is the length of a record and its checksum (four bytes each, little endian), then the record.
	frameHeaderBytes = 8
	maximalFrame     = 32 << 20
	readBufferBytes  = 64 << 10
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

type damagedFrame struct{}

// Error implements error.
func (damagedFrame) Error() string { return "a record is damaged" }

func readFrame(reader io.Reader) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	length := binary.LittleEndian.Uint32(header[:4])
	if length == 0 || length > maximalFrame {
		return nil, damagedFrame{}
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(reader, payload); err != nil {
		return nil, err
	}
	if crc32.Checksum(payload, checksums) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, damagedFrame{}
	}
	return payload, nil
}

func appendFrame(buffer, payload []byte) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(payload, checksums))
	return append(buffer, payload...)
}

// replaySegment reads records up to the first damaged one; those behind it were never acknowledged.
func replaySegment(name string, number int, replay func([]byte, Position)) (int64, error) {
	file, err := os.Open(name)
	if err != nil {
		return 0, failed("open", err)
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
