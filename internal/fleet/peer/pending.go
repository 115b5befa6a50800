package peer

import "math/rand/v2"

// Pending tracks numbered datagram requests that wait for an answer. The zero value is ready for use. The owner's lock
// guards it. The first number is random: an answer names only the number, and a late one may be meant for a process that
// had the same address before.
type Pending struct {
	last     uint64
	answered map[uint64]chan struct{} // by request number
}

// Len returns the number of requests that wait for an answer.
func (p *Pending) Len() int { return len(p.answered) }

// Open returns the number of a new request and a channel that is closed by Answer.
func (p *Pending) Open() (number uint64, answered <-chan struct{}) {
	if p.answered == nil {
		p.answered = map[uint64]chan struct{}{}
		p.last = uint64(rand.Uint32())
	}
	p.last++
	channel := make(chan struct{})
	p.answered[p.last] = channel
	return p.last, channel
}

// Close removes a request, whether or not it was answered.
func (p *Pending) Close(number uint64) { delete(p.answered, number) }

// Answer records the answer to a request. It ignores late and repeated answers.
func (p *Pending) Answer(number uint64) {
	if answered, found := p.answered[number]; found {
		close(answered)
		delete(p.answered, number)
	}
}
