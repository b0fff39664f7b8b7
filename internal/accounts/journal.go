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

// Layout of a journal file, in bytes. What a process has written there outlasts its end in
// the page cache, though not the loss of the machine: nothing is synced.
const (
	journalMagic      = "SLTACC01"
	headerSize        = 4096
	incarnationOffset = 8
	shardsOffset      = 16
	sentOffset        = 1024 // versions told, by shard
	recordSize        = 512
	nameOffset        = 2 // after the length of the name
	countersOffset    = 264
	countersSize      = 8 * (1 + int(outcomeCount) + 1)
)

const (
	journalPattern  = "accounts-*.journal"
	malformedSuffix = ".garbled"
)

// FileJournal is the journal of the running process. Each change is one positioned write
// of the part that changed. A tenant's record is valid once its whole has been written:
// it is one write, and a file that ends within a record ends before it.
type FileJournal struct {
	file        journalFile
	records     map[string]int // offsets by tenant
	recordCount int
	scratch     [recordSize]byte // of the write under way
	writeFailed bool
	onError     func(error) // told of the first of writes that fail in a row
}

// journalFile is what a journal needs of its file.
type journalFile interface {
	io.WriterAt
	io.Closer
}

// CreateJournal makes the journal of a new life in a directory. Note is told of writes
// that fail.
func CreateJournal(directory string, life counter.LifeID, shards int, note func(error)) (*FileJournal, error) {
	if shards > maxShards {
		return nil, fmt.Errorf("journal: %d shards, at most %d", shards, maxShards)
	}
	file, err := os.OpenFile(journalPath(directory, life), os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	header := make([]byte, headerSize)
	copy(header, journalMagic)
	binary.LittleEndian.PutUint64(header[incarnationOffset:], uint64(life))
	binary.LittleEndian.PutUint64(header[shardsOffset:], uint64(shards))
	err = lockFile(file)
	if err == nil {
		_, err = file.WriteAt(header, 0)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("journal: %w", err), file.Close(), os.Remove(file.Name()))
	}
	return &FileJournal{file: file, records: map[string]int{}, onError: note}, nil
}

func journalPath(directory string, life counter.LifeID) string {
	return filepath.Join(directory, fmt.Sprintf("accounts-%016x.journal", uint64(life)))
}

// lockFile marks a file as one that a process is writing; it ends with the process.
func lockFile(file *os.File) error {
	return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

// Record implements Journal: one write of the tenant's counters, or of its whole record
// the first time. A change that could not be written is in the record's next write, as all
// counters are cumulative.
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

// appendCounters gives an account's counters as they stand in a record.
func appendCounters(out []byte, a *Account) []byte {
	out = binary.LittleEndian.AppendUint64(out, a.Taken)
	for _, n := range a.Settled {
		out = binary.LittleEndian.AppendUint64(out, n)
	}
	return binary.LittleEndian.AppendUint64(out, a.Doubled)
}

// write writes at an offset; false if that failed.
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

// Close ends the use of the journal; the file stays for the next process.
func (j *FileJournal) Close() error { return j.file.Close() }

// RecoverJournals reads what ended processes have left in a directory. Files of running
// processes are passed over. A garbled file is set aside under another name and reported;
// it does not keep the others from being read.
func RecoverJournals(directory string) (ended []EndedIncarnation, problems []error) {
	paths, err := filepath.Glob(filepath.Join(directory, journalPattern))
	if err != nil {
		return nil, []error{err}
	}
	for _, path := range paths {
		life, running, err := recoverJournal(path)
		switch {
		case running:
		case err != nil:
			problems = append(problems, errors.Join(fmt.Errorf("journal %s: %w", path, err), os.Rename(path, path+malformedSuffix)))
		default:
			ended = append(ended, life)
		}
	}
	return ended, problems
}

func recoverJournal(path string) (life EndedIncarnation, running bool, err error) {
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
	life, err = parseJournal(raw)
	return life, false, err
}

// parseJournal reads and checks the content of a journal file.
func parseJournal(raw []byte) (EndedIncarnation, error) {
	if len(raw) < headerSize || string(raw[:len(journalMagic)]) != journalMagic {
		return EndedIncarnation{}, ErrUnsupportedFormat
	}
	life := EndedIncarnation{Incarnation: counter.LifeID(binary.LittleEndian.Uint64(raw[incarnationOffset:])), Accounts: map[string]Account{}}
	shards := binary.LittleEndian.Uint64(raw[shardsOffset:])
	if life.Incarnation == 0 || shards == 0 || shards > maxShards {
		return EndedIncarnation{}, ErrMalformed
	}
	for shard := range int(shards) {
		life.SentVersions = append(life.SentVersions, binary.LittleEndian.Uint64(raw[sentOffset+8*shard:]))
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
		life.Accounts[string(record[nameOffset:nameOffset+length])] = account
	}
	return life, nil
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

// RemoveJournal deletes the journal of a life of which a majority holds everything.
func RemoveJournal(directory string, life counter.LifeID) error {
	return os.Remove(journalPath(directory, life))
}
