package accounts

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"slateridge/internal/counter"
)

// Layout of a journal file, in bytes. The file is mapped into memory: what a process has
// stored there outlasts its end without a system call for each request, though not the
// loss of the machine.
const (
	journalMagic   = "SLTACC01"
	headerSize     = 4096
	lifeOffset     = 8
	shardsOffset   = 16
	toldOffset     = 1024 // versions told, by shard
	recordSize     = 512
	nameOffset     = 2 // after the length of the name
	countersOffset = 264
	recordsAtOnce  = 256 // the file grows by so many
)

const (
	journalPattern = "accounts-*.journal"
	garbledSuffix  = ".garbled"
)

// FileJournal is the journal of the running process.
type FileJournal struct {
	file    *os.File
	mapped  []byte
	records map[string]int // offsets by tenant
	used    int
}

// CreateJournal makes the journal of a new life in a directory.
func CreateJournal(directory string, life counter.LifeID, shards int) (*FileJournal, error) {
	if shards > mostShards {
		return nil, fmt.Errorf("journal: %d shards, at most %d", shards, mostShards)
	}
	file, err := os.OpenFile(journalPath(directory, life), os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	j := &FileJournal{file: file, records: map[string]int{}}
	if err := errors.Join(lock(file), j.grow()); err != nil {
		file.Close()
		return nil, fmt.Errorf("journal: %w", err)
	}
	binary.LittleEndian.PutUint64(j.mapped[lifeOffset:], uint64(life))
	binary.LittleEndian.PutUint64(j.mapped[shardsOffset:], uint64(shards))
	copy(j.mapped, journalMagic)
	return j, nil
}

func journalPath(directory string, life counter.LifeID) string {
	return filepath.Join(directory, fmt.Sprintf("accounts-%016x.journal", uint64(life)))
}

// lock marks a file as one that a process is writing; it ends with the process.
func lock(file *os.File) error {
	return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

// grow makes room for more records.
func (j *FileJournal) grow() error {
	size := headerSize + (j.used+recordsAtOnce)*recordSize
	if err := j.file.Truncate(int64(size)); err != nil {
		return err
	}
	mapped, err := syscall.Mmap(int(j.file.Fd()), 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return err
	}
	if j.mapped != nil {
		syscall.Munmap(j.mapped) // both map the same pages; failing to unmap only wastes memory
	}
	j.mapped = mapped
	return nil
}

// Record implements Journal. A tenant for which there is no room on the disk any more is
// accounted for without the journal.
func (j *FileJournal) Record(tenant string, a *Account) {
	offset, known := j.records[tenant]
	if !known {
		if offset = j.add(tenant); offset == 0 {
			return
		}
	}
	counters := j.mapped[offset+countersOffset:]
	binary.LittleEndian.PutUint64(counters, a.Taken) // first, so that no more is settled than taken
	for i, n := range a.Settled {
		binary.LittleEndian.PutUint64(counters[8*(i+1):], n)
	}
	binary.LittleEndian.PutUint64(counters[8*(len(a.Settled)+1):], a.Doubled)
}

// add begins a tenant's record; 0 if there is no room. The length of the name comes last
// and makes the record valid.
func (j *FileJournal) add(tenant string) int {
	offset := headerSize + j.used*recordSize
	if offset+recordSize > len(j.mapped) && j.grow() != nil {
		return 0
	}
	copy(j.mapped[offset+nameOffset:offset+countersOffset], tenant)
	binary.LittleEndian.PutUint16(j.mapped[offset:], uint16(len(tenant)))
	j.records[tenant] = offset
	j.used++
	return offset
}

// Told implements Journal.
func (j *FileJournal) Told(shard int, version uint64) {
	binary.LittleEndian.PutUint64(j.mapped[toldOffset+8*shard:], version)
}

// Close ends the use of the journal; the file stays for the next process.
func (j *FileJournal) Close() error {
	return errors.Join(syscall.Munmap(j.mapped), j.file.Close())
}

// RecoverJournals reads what ended processes have left in a directory. Files of running
// processes are passed over. A garbled file is set aside under another name and reported;
// it does not keep the others from being read.
func RecoverJournals(directory string) (ended []EndedLife, problems []error) {
	paths, err := filepath.Glob(filepath.Join(directory, journalPattern))
	if err != nil {
		return nil, []error{err}
	}
	for _, path := range paths {
		life, running, err := recoverJournal(path)
		switch {
		case running:
		case err != nil:
			problems = append(problems, errors.Join(fmt.Errorf("journal %s: %w", path, err), os.Rename(path, path+garbledSuffix)))
		default:
			ended = append(ended, life)
		}
	}
	return ended, problems
}

func recoverJournal(path string) (life EndedLife, running bool, err error) {
	file, err := os.Open(path)
	if err != nil {
		return EndedLife{}, false, err
	}
	defer file.Close()
	if lock(file) != nil {
		return EndedLife{}, true, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return EndedLife{}, false, err
	}
	life, err = parseJournal(raw)
	return life, false, err
}

// parseJournal reads and checks the content of a journal file.
func parseJournal(raw []byte) (EndedLife, error) {
	if len(raw) < headerSize || string(raw[:len(journalMagic)]) != journalMagic {
		return EndedLife{}, ErrFormat
	}
	life := EndedLife{Life: counter.LifeID(binary.LittleEndian.Uint64(raw[lifeOffset:])), Accounts: map[string]Account{}}
	shards := binary.LittleEndian.Uint64(raw[shardsOffset:])
	if life.Life == 0 || shards == 0 || shards > mostShards {
		return EndedLife{}, ErrGarbled
	}
	for shard := range int(shards) {
		life.Told = append(life.Told, binary.LittleEndian.Uint64(raw[toldOffset+8*shard:]))
	}
	for record := raw[headerSize:]; len(record) >= recordSize; record = record[recordSize:] {
		length := int(binary.LittleEndian.Uint16(record))
		if length == 0 {
			break
		}
		if length > nameMax {
			return EndedLife{}, ErrGarbled
		}
		account, err := parseCounters(record[countersOffset:])
		if err != nil {
			return EndedLife{}, err
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
		settled += min(a.Settled[i], countMax+1)
	}
	a.Doubled = binary.LittleEndian.Uint64(raw[8*(len(a.Settled)+1):])
	if a.Taken > countMax || settled > a.Taken || a.Doubled > a.Taken {
		return Account{}, ErrGarbled
	}
	return a, nil
}

// RemoveJournal deletes the journal of a life of which a majority holds everything.
func RemoveJournal(directory string, life counter.LifeID) error {
	return os.Remove(journalPath(directory, life))
}
