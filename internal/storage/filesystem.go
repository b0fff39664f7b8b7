package storage

import (
	"os"
	"path/filepath"
)

// fileSystem is what the store asks of the folder it lives in. Names are those
// in the folder. Tests put a model of a disk in its place that stops, refuses
// and forgets.
type fileSystem interface {
	ReadFile(name string) ([]byte, error)
	Open(name string) (file, error)
	Create(name string) (file, error) // empty, whatever stood there
	Rename(from, to string) error
	Remove(name string) error
	SyncFolder() error // makes the names in it last
}

// file is an open file of one; a write goes to its end.
type file interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// folder is a real one.
type folder string

func (d folder) path(name string) string { return filepath.Join(string(d), name) }

func (d folder) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

func (d folder) Open(name string) (file, error) { return os.OpenFile(d.path(name), os.O_RDWR, 0) }

func (d folder) Create(name string) (file, error) { return os.Create(d.path(name)) }

func (d folder) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

func (d folder) Remove(name string) error { return os.Remove(d.path(name)) }

func (d folder) SyncFolder() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
