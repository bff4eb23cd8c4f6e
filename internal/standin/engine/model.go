// Package engine is a stand-in of a model engine: it batches continuously,
// caches prompt prefixes in limited memory, knows no priorities, and admits in
// order of arrival.
//
// Model is the engine as a state machine without a clock, which the experiments
// step in virtual time. Server steps it in real time behind HTTP.
package engine

import (
	"time"

	"github.com/tacktally/tacktally/internal/prefix"
)

// Spec is how fast and how large an engine is.
type Spec struct {
	// PrefillPerSecond is the prompt tokens read a second by an otherwise idle engine.
	PrefillPerSecond float64
	// StepBase is the least time of a step, StepPerSequence what each sequence
	// that writes adds to it.
	StepBase        time.Duration
	StepPerSequence time.Duration
	// Slots bounds the sequences that run at once.
	Slots int
	// ChunkTokens bounds the prompt tokens read in one step.
	ChunkTokens int
	// CacheBlocks bounds the prefix cache, in blocks of prefix.BlockTokens.
	CacheBlocks int
}

// Sequence is one request at the engine.
type Sequence struct {
	Prompt int
	Output int
	Chain  []uint64
	// Value is the owner's.
	Value any

	toRead  int
	read    int
	written int
}

// Prefilled returns the prompt tokens read for it, those in the cache left out.
func (s *Sequence) Prefilled() int { return s.read }

// Emitted returns the output tokens written so far.
func (s *Sequence) Emitted() int { return s.written }

// Model is an engine without a clock. Not safe for concurrent use.
type Model struct {
	spec    Spec
	slow    float64
	waiting []*Sequence
	running []*Sequence
	cache   *prefix.Index
	dropped []uint64
	onCache func(added, dropped []uint64)

	// PrefilledTokens counts prompt tokens read.
	PrefilledTokens int
	// CachedTokens counts prompt tokens found in the cache.
	CachedTokens int
}

// NewModel returns an idle engine with an empty cache.
func NewModel(s Spec) *Model {
	m := &Model{spec: s, slow: 1}
	m.cache = prefix.NewIndexOnEvict(s.CacheBlocks, func(b uint64) { m.dropped = append(m.dropped, b) })
	return m
}

// OnCacheChange registers who is told of the blocks that came into the cache and of
// those that were dropped for them.
func (m *Model) OnCacheChange(f func(added, dropped []uint64)) { m.onCache = f }

// SetSlow makes every step take so many times longer.
func (m *Model) SetSlow(factor float64) { m.slow = factor }

// Add lets a sequence wait for a slot.
func (m *Model) Add(s *Sequence) { m.waiting = append(m.waiting, s) }

// Cancel removes a sequence.
func (m *Model) Cancel(s *Sequence) {
	m.waiting = without(m.waiting, s)
	m.running = without(m.running, s)
}

func without(list []*Sequence, s *Sequence) []*Sequence {
	kept := list[:0]
	for _, x := range list {
		if x != s {
			kept = append(kept, x)
		}
	}
	return kept
}

// Load returns the sequences at the engine, waiting or running.
func (m *Model) Load() int { return len(m.waiting) + len(m.running) }

// Idle tells whether there is nothing to do.
func (m *Model) Idle() bool { return m.Load() == 0 }

// Step makes one step: it reads up to a chunk of prompts in order of arrival and
// writes one token of each sequence whose prompt is read. It returns how long
// the step takes and the sequences that wrote a token in it.
func (m *Model) Step() (took time.Duration, wrote []*Sequence) {
	m.admit()
	read := 0
	for _, s := range m.running {
		n := min(s.toRead, m.spec.ChunkTokens-read)
		s.toRead -= n
		s.read += n
		read += n
		if s.toRead > 0 {
			continue
		}
		if s.written == 0 {
			m.keep(s.Chain)
		}
		s.written++
		wrote = append(wrote, s)
	}
	m.PrefilledTokens += read
	for _, s := range wrote {
		if s.written >= s.Output {
			m.running = without(m.running, s)
		}
	}
	seconds := float64(read) / m.spec.PrefillPerSecond
	took = m.spec.StepBase + time.Duration(len(wrote))*m.spec.StepPerSequence + time.Duration(seconds*float64(time.Second))
	return time.Duration(float64(took) * m.slow), wrote
}

// keep takes a prompt that was read into the cache.
func (m *Model) keep(chain []uint64) {
	m.dropped = nil
	m.cache.Add(chain)
	if m.onCache != nil {
		m.onCache(chain, m.dropped)
	}
}

func (m *Model) admit() {
	for len(m.waiting) > 0 && len(m.running) < m.spec.Slots {
		s := m.waiting[0]
		m.waiting = m.waiting[1:]
		cached := min(m.cache.Cached(s.Chain)*prefix.BlockTokens, s.Prompt-1)
		m.CachedTokens += cached
		s.toRead = s.Prompt - cached
		m.running = append(m.running, s)
	}
}
