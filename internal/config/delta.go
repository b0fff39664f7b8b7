package config

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
)

// Delta encodes a configuration document as its difference from the document of version Base,
// or as a whole if Base is 0. Most changes touch only a few of many items.
type Delta struct {
	Base, Version uint64
	Sum           uint32 // CRC-32 of the whole document
	Z             []byte // steps, compressed with DEFLATE
}

// ErrBaseMismatch is returned if a delta was not made from the base that it is applied to, or if
// the result has the wrong checksum. The configuration then has to be sent whole.
var ErrBaseMismatch = errors.New("delta does not match the base configuration")

var itemPrefix = []byte(`{"resourceKind"`)

// splitItems splits a document at the beginning of each item. A document that is formatted
// differently yields a single piece, which makes deltas larger but not wrong.
func splitItems(raw []byte) [][]byte {
	var out [][]byte
	for len(raw) > 0 {
		n := bytes.Index(raw[1:], itemPrefix)
		if n < 0 {
			return append(out, raw)
		}
		out = append(out, raw[:n+1])
		raw = raw[n+1:]
	}
	return out
}

// NewDelta returns the difference of d from base, which may be nil.
func NewDelta(base *Doc, d *Doc) Delta {
	delta := Delta{Version: d.Version, Sum: crc32.ChecksumIEEE(d.Raw)}
	baseIndex := map[string]int{} // by text
	var old [][]byte
	if base != nil && base.Version > 0 {
		delta.Base = base.Version
		old = splitItems(base.Raw)
		for i, item := range old {
			baseIndex[string(item)] = i
		}
	}
	var compressed bytes.Buffer
	w, _ := flate.NewWriter(&compressed, flate.DefaultCompression)
	var num [2 * binary.MaxVarintLen64]byte
	step := func(count, arg uint64, literal []byte) {
		n := binary.PutUvarint(num[:], count)
		n += binary.PutUvarint(num[n:], arg)
		w.Write(num[:n])
		w.Write(literal)
	}
	current := splitItems(d.Raw)
	for i := 0; i < len(current); {
		from, ok := baseIndex[string(current[i])]
		if !ok {
			step(0, uint64(len(current[i])), current[i]) // literal: 0, length, bytes
			i++
			continue
		}
		n := 1
		for i+n < len(current) && from+n < len(old) && bytes.Equal(current[i+n], old[from+n]) {
			n++
		}
		step(uint64(n), uint64(from), nil) // copy: count of items, index in the base
		i += n
	}
	w.Close()
	delta.Z = compressed.Bytes()
	return delta
}

// Apply returns the whole document after verifying its checksum. max limits its size in bytes.
func (d *Delta) Apply(base *Doc, max int) (*Doc, error) {
	var old [][]byte
	if d.Base > 0 {
		if base == nil || base.Version != d.Base {
			return nil, ErrBaseMismatch
		}
		old = splitItems(base.Raw)
	}
	r := bufio.NewReader(flate.NewReader(bytes.NewReader(d.Z)))
	var out bytes.Buffer
	for {
		count, err := binary.ReadUvarint(r)
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
		arg, err := binary.ReadUvarint(r)
		if err != nil {
			return nil, err
		}
		if count == 0 {
			if arg == 0 {
				return nil, errors.New("delta contains an empty step") // a few compressed bytes can hold very many of these
			}
			if arg > uint64(max-out.Len()) {
				return nil, errors.New("document exceeds the size limit")
			}
			if _, err := io.CopyN(&out, r, int64(arg)); err != nil {
				return nil, err
			}
			continue
		}
		if arg > uint64(len(old)) || count > uint64(len(old))-arg {
			return nil, ErrBaseMismatch
		}
		for _, item := range old[arg : arg+count] {
			if out.Len()+len(item) > max {
				return nil, errors.New("document exceeds the size limit")
			}
			out.Write(item)
		}
	}
	if crc32.ChecksumIEEE(out.Bytes()) != d.Sum {
		return nil, ErrBaseMismatch
	}
	return &Doc{Version: d.Version, Raw: out.Bytes()}, nil
}
