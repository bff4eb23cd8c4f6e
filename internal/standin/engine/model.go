// Package engine is a fake model engine. It batches continuously, caches prompt prefixes in limited
// memory, has no priorities, and admits requests in order of arrival.
//
// Model is the engine as a state machine without a clock, which the experiments step in virtual time.
// Server steps it in real time behind HTTP.
package engine

import (
	"time"

	"github.com/tacktally/tacktally/internal/prefix"
)

// Spec holds the speed and the capacity of an engine.
type Spec struct {
	// PrefillPerSecond is the prefill rate of an otherwise idle engine, in prompt tokens per second.
	PrefillPerSecond float64
	// StepBase is the minimum time of a step, StepPerSequence what each sequence that outputs a token
	// in it adds.
	StepBase        time.Duration
	StepPerSequence time.Duration
	// Slots bounds the sequences that run concurrently.
	Slots int
	// ChunkTokens bounds the prompt tokens prefilled in one step.
	ChunkTokens int
	// CacheBlocks bounds the prefix cache, in blocks of prefix.BlockTokens.
	CacheBlocks int
}

// Sequence is one request at the engine.
type Sequence struct {
	// Prompt and Output are the lengths of prompt and output, in tokens.
	Prompt int
	Output int
	// PrefixHashes holds the prefix hashes of the prompt.
	PrefixHashes []uint64
	// Value is set by the caller and not used by the engine.
	Value any

	toPrefill int
	prefilled int
	emitted   int
}

// Prefilled returns the number of prompt tokens prefilled so far, without those from the cache.
func (s *Sequence) Prefilled() int { return s.prefilled }

// Emitted returns the number of output tokens so far.
func (s *Sequence) Emitted() int { return s.emitted }

// Model is an engine without a clock. Not safe for concurrent use.
type Model struct {
	spec    Spec
	slow    float64
	waiting []*Sequence
	running []*Sequence
	cache   *prefix.Index
	dropped []uint64
	onCache func(added, dropped []uint64)

	// PrefilledTokens counts the prompt tokens that were prefilled.
	PrefilledTokens int
	// CachedTokens counts the prompt tokens that were found in the cache.
	CachedTokens int
}

// NewModel returns an idle engine with an empty cache.
func NewModel(s Spec) *Model {
	m := &Model{spec: s, slow: 1}
	m.cache = prefix.NewIndexOnEvict(s.CacheBlocks, func(b uint64) { m.dropped = append(m.dropped, b) })
	return m
}

// OnCacheChange sets the function that is called with the blocks that were added to the cache and
// those that were dropped for them.
func (m *Model) OnCacheChange(f func(added, dropped []uint64)) { m.onCache = f }

// SetSlow multiplies the time of each step by factor.
func (m *Model) SetSlow(factor float64) { m.slow = factor }

// Add queues a sequence until a slot is free.
func (m *Model) Add(s *Sequence) { m.waiting = append(m.waiting, s) }

// Cancel removes a waiting or running sequence.
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

// Load returns the number of sequences that wait or run.
func (m *Model) Load() int { return len(m.waiting) + len(m.running) }

// Idle reports whether no sequence waits or runs.
func (m *Model) Idle() bool { return m.Load() == 0 }

// Step makes one step: it prefills up to ChunkTokens of the prompts in order of arrival, and outputs one
// token of each sequence whose prefill is done. It returns how long the step takes and the sequences
// that output a token in it.
func (m *Model) Step() (took time.Duration, emitted []*Sequence) {
	m.admit()
	prefilled := 0
	for _, s := range m.running {
		n := min(s.toPrefill, m.spec.ChunkTokens-prefilled)
		s.toPrefill -= n
		s.prefilled += n
		prefilled += n
		if s.toPrefill > 0 {
			continue
		}
		if s.emitted == 0 {
			m.cachePrompt(s.PrefixHashes)
		}
		s.emitted++
		emitted = append(emitted, s)
	}
	m.PrefilledTokens += prefilled
	for _, s := range emitted {
		if s.emitted >= s.Output {
			m.running = without(m.running, s)
		}
	}
	seconds := float64(prefilled) / m.spec.PrefillPerSecond
	took = m.spec.StepBase + time.Duration(len(emitted))*m.spec.StepPerSequence + time.Duration(seconds*float64(time.Second))
	return time.Duration(float64(took) * m.slow), emitted
}

// cachePrompt adds a prompt whose prefill is done to the cache.
func (m *Model) cachePrompt(hashes []uint64) {
	m.dropped = nil
	m.cache.Add(hashes)
	if m.onCache != nil {
		m.onCache(hashes, m.dropped)
	}
}

// admit moves waiting sequences into free slots, in order of arrival.
func (m *Model) admit() {
	for len(m.waiting) > 0 && len(m.running) < m.spec.Slots {
		s := m.waiting[0]
		m.waiting = m.waiting[1:]
		cached := min(m.cache.Cached(s.PrefixHashes)*prefix.BlockTokens, s.Prompt-1)
		m.CachedTokens += cached
		s.toPrefill = s.Prompt - cached
		m.running = append(m.running, s)
	}
}
