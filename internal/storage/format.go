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

// The file is buntdb's append-only log of "set key value" commands, so buntdb
// reads and writes it. Its first record names the format. It is written and
// synced before the file gets its name, so a file under that name that does not
// start with a whole record was not left so by any end of a process or loss of
// power: it is another program's, or damaged. A record's value is its checksum,
// a space, the body and the key once more, all but the first under the checksum.
//
// Files of before formats had a number lack that first record and the key at the
// end of values; they were made under their name, so that one may be found whose
// first record is torn.
const (
	headerKey     = "cistern/format"
	formatVersion = 1
)

func header() []byte {
	return appendRecord(nil, headerKey, seal(headerKey, strconv.Itoa(formatVersion)))
}

// appendRecord writes a command as buntdb does.
func appendRecord(b []byte, key, val string) []byte {
	b = slices.Grow(b, int(recordSize(key, val)))
	return fmt.Appendf(b, "%s$%d\r\n%s\r\n$%d\r\n%s\r\n", setFrame, len(key), key, len(val), val)
}

const setFrame = "*3\r\n$3\r\nset\r\n"

// recordSize is the length of a record.
func recordSize(key, val string) int64 {
	return int64(len(setFrame) + len(strconv.Itoa(len(key))) + len(key) + len(strconv.Itoa(len(val))) + len(val) + len("$\r\n\r\n$\r\n\r\n"))
}

func seal(key, body string) string { return withSum([]byte(body + key)) }

// withSum puts a checksum before what it covers.
func withSum(b []byte) string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE(b)), 16) + " " + string(b)
}

// checked gives what a value's checksum covers, if it is right.
func checked(val string) (string, bool) {
	sum, rest, _ := strings.Cut(val, " ")
	return rest, sum == strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(rest))), 16)
}

func unseal(key, val string) (string, bool) {
	rest, ok := checked(val)
	body, found := strings.CutSuffix(rest, key)
	return body, ok && found
}

// nextRecord reads the command at the start of b; size is 0 if none stands there
// whole. It takes no more than what buntdb takes.
func nextRecord(b []byte) (key, val string, size int) {
	p := len(setFrame)
	if !bytes.HasPrefix(b, []byte(setFrame)) {
		return "", "", 0
	}
	part := func() (string, bool) {
		nl := bytes.IndexByte(b[p:min(len(b), p+16)], '\n')
		if nl < 3 || b[p] != '$' || b[p+nl-1] != '\r' {
			return "", false
		}
		digits := string(b[p+1 : p+nl-1])
		n, err := strconv.Atoi(digits)
		if err != nil || n < 0 || strconv.Itoa(n) != digits {
			return "", false
		}
		p += nl + 1
		if n > len(b)-p-2 || b[p+n] != '\r' || b[p+n+1] != '\n' {
			return "", false
		}
		s := string(b[p : p+n])
		p += n + 2
		return s, true
	}
	key, ok := part()
	if !ok {
		return "", "", 0
	}
	if val, ok = part(); !ok {
		return "", "", 0
	}
	return key, val, p
}

var errForeign = errors.New("not a store, or damaged at its start: nothing is made of it and nothing changed; move it away, and this machine starts as one whose disk was lost")

// inspect finds the whole records behind the header, and whether there is one.
// What follows them is the torn end of a write that was never acknowledged: each
// is synced before the next. If whole ones follow all the same, the file is
// damaged, and to cut it would bring back what was replaced.
func inspect(b []byte) (from, to int, headed bool, err error) {
	key, val, size := nextRecord(b)
	whole := func(key, val string, size int) bool {
		if size == 0 {
			return false
		}
		_, ok := checked(val)
		if headed {
			_, ok = unseal(key, val)
		}
		return ok
	}
	if size > 0 && key == headerKey {
		headed = true
		version, ok := unseal(key, val)
		n, err := strconv.Atoi(version)
		if !ok || err != nil || n < 1 {
			return 0, 0, true, errForeign
		}
		if n > formatVersion {
			return 0, 0, true, fmt.Errorf("format %d is newer than %d, the newest that this program reads", n, formatVersion)
		}
		from = size
	} else if !whole(key, val, size) {
		if !tornCreation(b) {
			return 0, 0, false, errForeign
		}
		return 0, 0, false, nil
	} else if rest, _ := checked(val); strings.HasSuffix(rest, headerKey) {
		return 0, 0, false, errForeign // a header under a damaged key, not a file of before headers
	}
	for to = from; to < len(b); to += size {
		if key, val, size = nextRecord(b[to:]); !whole(key, val, size) {
			break
		}
	}
	for at := to + 1; headed && at < len(b); at++ {
		skip := bytes.Index(b[at:], []byte(setFrame))
		if skip < 0 {
			break
		}
		at += skip
		if whole(nextRecord(b[at:])) {
			return 0, 0, true, fmt.Errorf("damaged at byte %d of %d, with whole records behind it", to, len(b))
		}
	}
	return from, to, headed, nil
}

// tornCreation says whether a file is what a loss of power may leave of an older
// program's very first write, a chain's agreement: its start as far as it is
// there, zeroes where it is not, and nothing behind it.
func tornCreation(b []byte) bool {
	const start, most = setFrame + "$9\r\nagreement\r\n$", 64 << 10 // such a record has a few hundred bytes
	for i, c := range b[:min(len(b), len(start))] {
		if c != 0 && c != start[i] {
			return false
		}
	}
	return len(b) <= most && !bytes.Contains(b[min(1, len(b)):], []byte(setFrame))
}
