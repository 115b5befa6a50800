package peer

// Pending are the numbered requests over datagrams that wait for an answer. The zero value is ready; the owner's lock
// guards it.
type Pending struct {
	last     uint64
	answered map[uint64]chan struct{} // by number of the request
}

// Len returns how many requests wait for an answer.
func (p *Pending) Len() int { return len(p.answered) }

// Open returns the number of a new request, and a channel that its answer closes.
func (p *Pending) Open() (number uint64, answered <-chan struct{}) {
	if p.answered == nil {
		p.answered = map[uint64]chan struct{}{}
	}
	p.last++
	channel := make(chan struct{})
	p.answered[p.last] = channel
	return p.last, channel
}

// Close ends the wait for an answer.
func (p *Pending) Close(number uint64) { delete(p.answered, number) }

// Answer records the answer to a request; a late or repeated one is ignored.
func (p *Pending) Answer(number uint64) {
	if answered, found := p.answered[number]; found {
		close(answered)
		delete(p.answered, number)
	}
}
