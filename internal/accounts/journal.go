package accounts

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"slateridge/internal/counter"
)

// Layout of a journal file, in bytes. The file is never synced: written data survives the end
// of the process in the page cache, but not a crash of the machine.
const (
	journalMagic      = "SLTACC01"
	headerSize        = 4096
	incarnationOffset = 8
	shardsOffset      = 16
	sentOffset        = 1024 // newest sent version of each shard
	recordSize        = 512
	nameOffset        = 2 // follows the length of the name
	countersOffset    = 264
	countersSize      = 8 * (1 + int(outcomeCount) + 1)
)

const (
	journalPattern  = "accounts-*.journal"
	malformedSuffix = ".garbled"
)

// FileJournal is the Journal of the running process, kept in a file. Each change is one
// positioned write of the changed bytes. A tenant's record is created by a single write, and a
// file that ends inside a record is read as if it ended before that record.
type FileJournal struct {
	file        journalFile
	records     map[string]int // record offsets by tenant
	recordCount int
	scratch     [recordSize]byte // buffer of the current write
	writeFailed bool
	onError     func(error) // called for the first of several consecutive failed writes
}

// journalFile is the part of os.File that a FileJournal uses; tests replace it.
type journalFile interface {
	io.WriterAt
	io.Closer
}

// CreateJournal creates the journal of a new incarnation in a directory. onError is called
// for failed writes.
func CreateJournal(directory string, incarnation counter.IncarnationID, shards int, onError func(error)) (*FileJournal, error) {
	if shards > maxShards {
		return nil, fmt.Errorf("journal: too many shards: %d, must be at most %d", shards, maxShards)
	}
	file, err := os.OpenFile(journalPath(directory, incarnation), os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	header := make([]byte, headerSize)
	copy(header, journalMagic)
	binary.LittleEndian.PutUint64(header[incarnationOffset:], uint64(incarnation))
	binary.LittleEndian.PutUint64(header[shardsOffset:], uint64(shards))
	err = lockFile(file)
	if err == nil {
		_, err = file.WriteAt(header, 0)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("journal: %w", err), file.Close(), os.Remove(file.Name()))
	}
	return &FileJournal{file: file, records: map[string]int{}, onError: onError}, nil
}

func journalPath(directory string, incarnation counter.IncarnationID) string {
	return filepath.Join(directory, fmt.Sprintf("accounts-%016x.journal", uint64(incarnation)))
}

// lockFile takes an exclusive lock that marks the file as in use by a running process. The
// lock is released when the process ends.
func lockFile(file *os.File) error {
	return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

// Record implements Journal. It writes the tenant's counters, or the whole record the first
// time. As counters are cumulative, the next write also covers a change whose write failed.
func (j *FileJournal) Record(tenant string, a *Account) {
	offset, known := j.records[tenant]
	if known {
		j.write(appendCounters(j.scratch[:0], a), offset+countersOffset)
		return
	}
	record := j.scratch[:]
	clear(record)
	binary.LittleEndian.PutUint16(record, uint16(len(tenant)))
	copy(record[nameOffset:countersOffset], tenant)
	appendCounters(record[countersOffset:countersOffset], a)
	offset = headerSize + j.recordCount*recordSize
	if j.write(record, offset) {
		j.records[tenant] = offset
		j.recordCount++
	}
}

// appendCounters appends an account's counters in the layout of a record.
func appendCounters(out []byte, a *Account) []byte {
	out = binary.LittleEndian.AppendUint64(out, a.Taken)
	for _, n := range a.Settled {
		out = binary.LittleEndian.AppendUint64(out, n)
	}
	return binary.LittleEndian.AppendUint64(out, a.Doubled)
}

// write writes content at an offset and reports whether this succeeded.
func (j *FileJournal) write(content []byte, offset int) bool {
	_, err := j.file.WriteAt(content, int64(offset))
	if err != nil && !j.writeFailed {
		j.onError(fmt.Errorf("journal: %w", err))
	}
	j.writeFailed = err != nil
	return err == nil
}

// RecordSent implements Journal.
func (j *FileJournal) RecordSent(shard int, version uint64) bool {
	return j.write(binary.LittleEndian.AppendUint64(j.scratch[:0], version), sentOffset+8*shard)
}

// Close closes the file without deleting it, so that the next process can recover it.
func (j *FileJournal) Close() error { return j.file.Close() }

// RecoverJournals reads the journals of ended processes in a directory. It skips journals of
// running processes. A journal that can't be read is renamed and reported; the others are
// still read.
func RecoverJournals(directory string) (ended []EndedIncarnation, problems []error) {
	paths, err := filepath.Glob(filepath.Join(directory, journalPattern))
	if err != nil {
		return nil, []error{err}
	}
	for _, path := range paths {
		incarnation, running, err := recoverJournal(path)
		switch {
		case running:
		case err != nil:
			problems = append(problems, errors.Join(fmt.Errorf("journal %s: %w", path, err), os.Rename(path, path+malformedSuffix)))
		default:
			ended = append(ended, incarnation)
		}
	}
	return ended, problems
}

func recoverJournal(path string) (incarnation EndedIncarnation, running bool, err error) {
	file, err := os.Open(path)
	if err != nil {
		return EndedIncarnation{}, false, err
	}
	defer file.Close()
	if lockFile(file) != nil {
		return EndedIncarnation{}, true, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return EndedIncarnation{}, false, err
	}
	incarnation, err = parseJournal(raw)
	return incarnation, false, err
}

// parseJournal decodes and validates the content of a journal file.
func parseJournal(raw []byte) (EndedIncarnation, error) {
	if len(raw) < headerSize || string(raw[:len(journalMagic)]) != journalMagic {
		return EndedIncarnation{}, ErrUnsupportedFormat
	}
	incarnation := EndedIncarnation{Incarnation: counter.IncarnationID(binary.LittleEndian.Uint64(raw[incarnationOffset:])), Accounts: map[string]Account{}}
	shards := binary.LittleEndian.Uint64(raw[shardsOffset:])
	if incarnation.Incarnation == 0 || shards == 0 || shards > maxShards {
		return EndedIncarnation{}, ErrMalformed
	}
	for shard := range int(shards) {
		incarnation.SentVersions = append(incarnation.SentVersions, binary.LittleEndian.Uint64(raw[sentOffset+8*shard:]))
	}
	for record := raw[headerSize:]; len(record) >= recordSize; record = record[recordSize:] {
		length := int(binary.LittleEndian.Uint16(record))
		if length == 0 {
			break
		}
		if length > maxNameBytes {
			return EndedIncarnation{}, ErrMalformed
		}
		account, err := parseCounters(record[countersOffset:])
		if err != nil {
			return EndedIncarnation{}, err
		}
		incarnation.Accounts[string(record[nameOffset:nameOffset+length])] = account
	}
	return incarnation, nil
}

func parseCounters(raw []byte) (Account, error) {
	a := Account{Taken: binary.LittleEndian.Uint64(raw)}
	settled := uint64(0)
	for i := range a.Settled {
		a.Settled[i] = binary.LittleEndian.Uint64(raw[8*(i+1):])
		settled += min(a.Settled[i], maxCount+1)
	}
	a.Doubled = binary.LittleEndian.Uint64(raw[8*(len(a.Settled)+1):])
	if a.Taken > maxCount || settled > a.Taken || a.Doubled > a.Taken {
		return Account{}, ErrMalformed
	}
	return a, nil
}

// RemoveJournal deletes the journal of an incarnation. It must not be called before majorities
// hold all counters of that incarnation.
func RemoveJournal(directory string, incarnation counter.IncarnationID) error {
	return os.Remove(journalPath(directory, incarnation))
}
