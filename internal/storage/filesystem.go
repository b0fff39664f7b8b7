package storage

import (
	"os"
	"path/filepath"
)

// fileSystem is the directory that holds the files of a Store. File names are
// relative to it. Tests replace it with a model of a disk that can stop, fail or
// lose writes at any operation.
type fileSystem interface {
	ReadFile(name string) ([]byte, error)
	Open(name string) (file, error)
	Create(name string) (file, error) // truncates an existing file
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error // makes creations, renames and removals durable
}

// file is an open file of a fileSystem. Write appends.
type file interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// directory implements fileSystem with a directory of the operating system.
type directory string

func (d directory) path(name string) string { return filepath.Join(string(d), name) }

func (d directory) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

func (d directory) Open(name string) (file, error) { return os.OpenFile(d.path(name), os.O_RDWR, 0) }

func (d directory) Create(name string) (file, error) { return os.Create(d.path(name)) }

func (d directory) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

func (d directory) Remove(name string) error { return os.Remove(d.path(name)) }

func (d directory) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
