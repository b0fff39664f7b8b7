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

// Delta is a configuration sent as its difference from an earlier one, which
// Base names; Base 0 needs none. Most changes touch a few of many items.
type Delta struct {
	Base, Version uint64
	Sum           uint32 // of the whole document
	Z             []byte // deflated steps
}

// ErrBaseMismatch says that a packed configuration does not fit what is held here: it
// has to be sent whole.
var ErrBaseMismatch = errors.New("packed against another configuration")

var itemMark = []byte(`{"resourceKind"`)

// items cuts a document where its items begin. Where it is written otherwise it
// is one piece, which costs bytes and nothing else.
func items(raw []byte) [][]byte {
	var out [][]byte
	for len(raw) > 0 {
		n := bytes.Index(raw[1:], itemMark)
		if n < 0 {
			return append(out, raw)
		}
		out = append(out, raw[:n+1])
		raw = raw[n+1:]
	}
	return out
}

// NewDelta makes d its difference from base, which may be nil.
func NewDelta(base *Doc, d *Doc) Delta {
	p := Delta{Version: d.Version, Sum: crc32.ChecksumIEEE(d.Raw)}
	at := map[string]int{}
	var old [][]byte
	if base != nil && base.Version > 0 {
		p.Base = base.Version
		old = items(base.Raw)
		for i, x := range old {
			at[string(x)] = i
		}
	}
	var z bytes.Buffer
	w, _ := flate.NewWriter(&z, flate.DefaultCompression)
	var num [2 * binary.MaxVarintLen64]byte
	step := func(a, b uint64, lit []byte) {
		n := binary.PutUvarint(num[:], a)
		n += binary.PutUvarint(num[n:], b)
		w.Write(num[:n])
		w.Write(lit)
	}
	its := items(d.Raw)
	for i := 0; i < len(its); {
		from, ok := at[string(its[i])]
		if !ok {
			step(0, uint64(len(its[i])), its[i]) // 0, length: bytes follow
			i++
			continue
		}
		n := 1
		for i+n < len(its) && from+n < len(old) && bytes.Equal(its[i+n], old[from+n]) {
			n++
		}
		step(uint64(n), uint64(from), nil) // count, from: items of the base
		i += n
	}
	w.Close()
	p.Z = z.Bytes()
	return p
}

// Apply gives the whole document, checked against its sum.
func (p *Delta) Apply(base *Doc, max int) (*Doc, error) {
	var old [][]byte
	if p.Base > 0 {
		if base == nil || base.Version != p.Base {
			return nil, ErrBaseMismatch
		}
		old = items(base.Raw)
	}
	r := bufio.NewReader(flate.NewReader(bytes.NewReader(p.Z)))
	var out bytes.Buffer
	for {
		n, err := binary.ReadUvarint(r)
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
		a, err := binary.ReadUvarint(r)
		if err != nil {
			return nil, err
		}
		if n == 0 {
			if a == 0 {
				return nil, errors.New("a step that says nothing") // few bytes may deflate to very many
			}
			if a > uint64(max-out.Len()) {
				return nil, errors.New("longer than a configuration may be")
			}
			if _, err := io.CopyN(&out, r, int64(a)); err != nil {
				return nil, err
			}
			continue
		}
		if a > uint64(len(old)) || n > uint64(len(old))-a {
			return nil, ErrBaseMismatch
		}
		for _, x := range old[a : a+n] {
			if out.Len()+len(x) > max {
				return nil, errors.New("longer than a configuration may be")
			}
			out.Write(x)
		}
	}
	if crc32.ChecksumIEEE(out.Bytes()) != p.Sum {
		return nil, ErrBaseMismatch
	}
	return &Doc{Version: p.Version, Raw: out.Bytes()}, nil
}
