package storage

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"
)

// The file is an append-only log of "set key value" commands in the format of
// buntdb, so buntdb can read and write it. The first record, the header, holds the
// format version. A file is written and synced before it is renamed to its final
// name, so no crash or power loss leaves a file under that name that does not
// start with a complete record: such a file belongs to another program or is
// damaged. The value of a record is a checksum, a space, the body and the key; the
// checksum covers the body and the key.
//
// Files written before the format had a version have no header, and their values
// do not end with the key. They were created directly under their final name, so
// their first record may be torn.
const (
	headerKey     = "cistern/format"
	formatVersion = 1
)

func header() []byte {
	return appendRecord(nil, headerKey, encodeValue(headerKey, strconv.Itoa(formatVersion)))
}

// appendRecord appends a set command in the encoding that buntdb uses.
func appendRecord(b []byte, key, val string) []byte {
	b = slices.Grow(b, int(recordSize(key, val)))
	return fmt.Appendf(b, "%s$%d\r\n%s\r\n$%d\r\n%s\r\n", recordPrefix, len(key), key, len(val), val)
}

const recordPrefix = "*3\r\n$3\r\nset\r\n"

// recordSize returns the length of an encoded record in bytes.
func recordSize(key, val string) int64 {
	return int64(len(recordPrefix) + len(strconv.Itoa(len(key))) + len(key) + len(strconv.Itoa(len(val))) + len(val) + len("$\r\n\r\n$\r\n\r\n"))
}

// encodeValue returns the value of the record that stores body under key.
func encodeValue(key, body string) string { return prependChecksum([]byte(body + key)) }

// prependChecksum returns the checksum of b, a space and b.
func prependChecksum(b []byte) string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE(b)), 16) + " " + string(b)
}

// verifyChecksum splits off the checksum of a value and reports whether it matches
// the rest.
func verifyChecksum(val string) (string, bool) {
	sum, rest, _ := strings.Cut(val, " ")
	return rest, sum == strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(rest))), 16)
}

// decodeValue is the inverse of encodeValue. It reports false if the checksum or
// the key does not match.
func decodeValue(key, val string) (string, bool) {
	rest, ok := verifyChecksum(val)
	body, found := strings.CutSuffix(rest, key)
	return body, ok && found
}

// parseRecord parses the set command at the start of b and returns its size in
// bytes, or 0 if b does not start with a complete one. It accepts nothing that
// buntdb rejects.
func parseRecord(b []byte) (key, val string, size int) {
	pos := len(recordPrefix)
	if !bytes.HasPrefix(b, []byte(recordPrefix)) {
		return "", "", 0
	}
	bulkString := func() (string, bool) {
		nl := bytes.IndexByte(b[pos:min(len(b), pos+16)], '\n')
		if nl < 3 || b[pos] != '$' || b[pos+nl-1] != '\r' {
			return "", false
		}
		digits := string(b[pos+1 : pos+nl-1])
		n, err := strconv.Atoi(digits)
		if err != nil || n < 0 || strconv.Itoa(n) != digits {
			return "", false
		}
		pos += nl + 1
		if n > len(b)-pos-2 || b[pos+n] != '\r' || b[pos+n+1] != '\n' {
			return "", false
		}
		s := string(b[pos : pos+n])
		pos += n + 2
		return s, true
	}
	key, ok := bulkString()
	if !ok {
		return "", "", 0
	}
	if val, ok = bulkString(); !ok {
		return "", "", 0
	}
	return key, val, pos
}

var errNotAStore = errors.New("not a store file, or damaged at its start; the file was left unchanged: move it away to start this machine as if its disk had been lost")

// inspect returns the range of the valid records after the header and whether
// there is a header. Records are synced one by one, so the bytes after the range
// are the torn end of a write that was never acknowledged. If a valid record
// follows them nevertheless, the file is damaged, and inspect fails: truncating
// the file would bring back values that had been replaced.
func inspect(b []byte) (start, end int, hasHeader bool, err error) {
	key, val, size := parseRecord(b)
	valid := func(key, val string, size int) bool {
		if size == 0 {
			return false
		}
		_, ok := verifyChecksum(val)
		if hasHeader {
			_, ok = decodeValue(key, val)
		}
		return ok
	}
	if size > 0 && key == headerKey {
		hasHeader = true
		version, ok := decodeValue(key, val)
		n, err := strconv.Atoi(version)
		if !ok || err != nil || n < 1 {
			return 0, 0, true, errNotAStore
		}
		if n > formatVersion {
			return 0, 0, true, fmt.Errorf("format version %d is newer than %d, the newest that this program supports", n, formatVersion)
		}
		start = size
	} else if !valid(key, val, size) {
		if !isTornFirstRecord(b) {
			return 0, 0, false, errNotAStore
		}
		return 0, 0, false, nil
	} else if rest, _ := verifyChecksum(val); strings.HasSuffix(rest, headerKey) {
		return 0, 0, false, errNotAStore // a header whose key is damaged, not a file without a header
	}
	for end = start; end < len(b); end += size {
		if key, val, size = parseRecord(b[end:]); !valid(key, val, size) {
			break
		}
	}
	for pos := end + 1; hasHeader && pos < len(b); pos++ {
		skip := bytes.Index(b[pos:], []byte(recordPrefix))
		if skip < 0 {
			break
		}
		pos += skip
		if valid(parseRecord(b[pos:])) {
			return 0, 0, true, fmt.Errorf("damaged at byte %d of %d: valid records follow an invalid one", end, len(b))
		}
	}
	return start, end, hasHeader, nil
}

// isTornFirstRecord reports whether b may be the remains of the first write of a
// program that did not write headers, after a power loss. That write is the
// agreement of a chain: a prefix of it, possibly with zeroes in place of some
// bytes, and no further record.
func isTornFirstRecord(b []byte) bool {
	const prefix, maxSize = recordPrefix + "$9\r\nagreement\r\n$", 64 << 10 // such a record has a few hundred bytes
	for i, c := range b[:min(len(b), len(prefix))] {
		if c != 0 && c != prefix[i] {
			return false
		}
	}
	return len(b) <= maxSize && !bytes.Contains(b[min(1, len(b)):], []byte(recordPrefix))
}
